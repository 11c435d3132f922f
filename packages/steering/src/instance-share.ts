/**
 * Divides limits that hold over all entry instances among them without agreement. Each instance counts all instances
 * that the store has registered, also those that do not answer, so that a network partition never raises the sum.
 */
import { hash32 } from '@arbutustray/core'

export interface InstanceShare {
  readonly count: () => number
  readonly update: (ids: readonly string[]) => void
  /**
   * Part of a small whole number of permits that this instance may use, for a subject such as an upstream. When there
   * are fewer permits than instances, a hash of the subject chooses the instances that get one.
   */
  readonly permits: (subject: string, total: number) => number
}

export function createInstanceShare (self: string): InstanceShare {
  let instances: readonly string[] = [self]

  function position (subject: string): number {
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
    update: ids => { instances = ids.includes(self) ? ids : [...ids, self] },
    permits: (subject, total) => {
      const whole = Math.max(0, Math.floor(total))
      const each = Math.floor(whole / instances.length)
      const remainder = whole - each * instances.length
      if (remainder === 0) return each
      return each + (position(subject) < remainder ? 1 : 0)
    }
  }
}
