/**
 * A bounded queue with fair shares between tenants.
 */

/** Items in the order in which they are served. */
export interface FairQueue<T> {
  /** Appends an item; `false` when the queue is full. */
  push (tenant: string, item: T): boolean
  peek (): T | undefined
  shift (): T | undefined
  /** Removes and returns the items that match. */
  remove (predicate: (item: T) => boolean): T[]
  readonly size: number
}
