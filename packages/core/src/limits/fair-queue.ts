/**
 * A bounded queue that serves its tenants in turn. It is a deficit round robin in which every item costs one
 * quantum, so a tenant waits for at most one item of each other tenant before its next item is served. A tenant that
 * was empty joins at the end of the round.
 */

/** Items by tenant. All operations but `remove` take constant time. */
export interface FairQueue<T> {
  /** Adds an item at the end of the tenant's items. False when there is no place for it. */
  readonly push: (tenant: string, item: T) => boolean
  /** The item that `shift` would take. */
  readonly peek: () => T | undefined
  /** Takes the next item. */
  readonly shift: () => T | undefined
  /** Takes all items that match, and returns them. */
  readonly remove: (predicate: (item: T) => boolean) => T[]
  /** Number of items. */
  readonly size: number
}

/**
 * A tenant may hold at most this many times the places that are free. A single tenant can then not fill a queue of
 * more than 8 places to its end, and a tenant that comes later still finds one.
 */
const MAX_ITEMS_PER_FREE_PLACE = 8
/** Served items in front of a tenant's list are dropped when there are this many and they are half of it. */
const MIN_SERVED_BEFORE_COMPACT = 32

/** One tenant in the ring of tenants that have items. */
interface TenantQueue<T> {
  readonly tenant: string
  items: T[]
  head: number
  next: TenantQueue<T>
  previous: TenantQueue<T>
}

/** Creates an empty queue for at most `maxItems` items. */
export function createFairQueue<T> (maxItems: number): FairQueue<T> {
  const tenantQueues = new Map<string, TenantQueue<T>>()
  /** The tenant whose turn it is. */
  let current: TenantQueue<T> | undefined
  let size = 0

  function addTenant (tenant: string): TenantQueue<T> {
    const queue = { tenant, items: [], head: 0 } as unknown as TenantQueue<T>
    queue.next = current ?? queue
    queue.previous = current?.previous ?? queue
    queue.previous.next = queue
    queue.next.previous = queue
    current ??= queue
    tenantQueues.set(tenant, queue)
    return queue
  }

  function removeTenant (queue: TenantQueue<T>): void {
    tenantQueues.delete(queue.tenant)
    queue.previous.next = queue.next
    queue.next.previous = queue.previous
    if (current === queue) current = queue.next === queue ? undefined : queue.next
  }

  function compact (queue: TenantQueue<T>): void {
    if (queue.head < MIN_SERVED_BEFORE_COMPACT || queue.head * 2 < queue.items.length) return
    queue.items = queue.items.slice(queue.head)
    queue.head = 0
  }

  function shift (): T | undefined {
    if (current === undefined) return undefined
    const queue = current
    const item = queue.items[queue.head] as T
    queue.items[queue.head] = undefined as T
    queue.head += 1
    size -= 1
    current = queue.next
    if (queue.head === queue.items.length) removeTenant(queue)
    else compact(queue)
    return item
  }

  function remove (predicate: (item: T) => boolean): T[] {
    const removed: T[] = []
    for (const queue of [...tenantQueues.values()]) {
      const kept: T[] = []
      for (const item of queue.items.slice(queue.head)) (predicate(item) ? removed : kept).push(item)
      queue.items = kept
      queue.head = 0
      if (kept.length === 0) removeTenant(queue)
    }
    size -= removed.length
    return removed
  }

  return {
    push: (tenant, item) => {
      const queue = tenantQueues.get(tenant)
      const tenantSize = queue === undefined ? 0 : queue.items.length - queue.head
      if (size >= maxItems || tenantSize >= MAX_ITEMS_PER_FREE_PLACE * (maxItems - size)) return false
      const target = queue ?? addTenant(tenant)
      target.items.push(item)
      size += 1
      return true
    },
    peek: () => current?.items[current.head],
    shift,
    remove,
    get size () { return size }
  }
}
