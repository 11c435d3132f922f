/**
 * The table of entry instances, with a version that tells look-ups when to rebuild their index. Without an index a
 * look-up among 3,700 instances takes more than 100 µs, too long for 10,000 look-ups per second.
 */
import type { Instance } from './tables.js'

/** Rows by instance id. */
export class InstanceMap extends Map<string, Instance> {
  #version = 0

  /**
   * Increases when an instance is added or removed or changes its state, zone or address. Updates of other fields, which
   * every heartbeat causes, leave it unchanged.
   */
  get version (): number {
    return this.#version
  }

  override set (id: string, row: Instance): this {
    const previous = this.get(id)
    if (previous?.state !== row.state || previous.zone !== row.zone || previous.address !== row.address) this.#version += 1
    return super.set(id, row)
  }

  override delete (id: string): boolean {
    this.#version += 1
    return super.delete(id)
  }

  override clear (): void {
    this.#version += 1
    super.clear()
  }
}
