/**
 * Order of the instances by a hash of their ids. All instances compute it alike, so they agree on who reads the store and
 * who copies from whom without communication.
 */
import { hash32 } from '@arbutustray/core'

export interface OrderedInstance {
  readonly id: string
  readonly order: number
}

export function orderInstance (id: string): OrderedInstance {
  return { id, order: hash32(id) }
}

export function isBefore (a: OrderedInstance, b: OrderedInstance): boolean {
  return a.order < b.order || (a.order === b.order && a.id < b.id)
}
