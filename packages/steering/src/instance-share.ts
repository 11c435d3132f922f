/**
 * Divides a limit that applies to all entry instances together into one share per instance, without communication. Each
 * instance counts all instances registered in the store, even those that do not answer, so that the shares never add up
 * to more than the limit during a network partition.
 */
import { hash32 } from '@arbutustray/core'

export interface InstanceShare {
  readonly count: () => number
  readonly includes: (id: string) => boolean
  readonly update: (ids: readonly string[]) => void
  /**
   * The part of `totalLimit` that this instance may use for a subject such as an upstream. A remainder that can't be
   * divided evenly goes to instances chosen by a hash of the subject.
   */
  readonly instanceLimit: (subject: string, totalLimit: number) => number
}

/** Subjects whose positions are kept; those of removed upstreams are dropped with the rest. */
const MAX_CACHED_POSITIONS = 20_000

export function createInstanceShare (self: string): InstanceShare {
  let instances: readonly string[] = [self]
  /** Positions by subject, which change only with the instances. */
  const positions = new Map<string, number>()

  /** Position of this instance in the order of the instances for a subject, from 0. */
  function position (subject: string): number {
    let known = positions.get(subject)
    if (known === undefined) {
      if (positions.size >= MAX_CACHED_POSITIONS) positions.clear()
      positions.set(subject, known = computePosition(subject))
    }
    return known
  }

  function computePosition (subject: string): number {
    const own = hash32(`${subject}\n${self}`)
    let before = 0
    for (const id of instances) {
      const other = id === self ? own : hash32(`${subject}\n${id}`)
      if (other < own || (other === own && id < self)) before += 1
    }
    return before
  }

  return {
    count: () => instances.length,
    includes: id => instances.includes(id),
    update: ids => {
      instances = ids.includes(self) ? ids : [...ids, self]
      positions.clear()
    },
    instanceLimit: (subject, totalLimit) => {
      const whole = Math.max(0, Math.floor(totalLimit))
      const each = Math.floor(whole / instances.length)
      const remainder = whole - each * instances.length
      if (remainder === 0) return each
      return each + (position(subject) < remainder ? 1 : 0)
    }
  }
}
