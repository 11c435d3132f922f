/**
 * A bounded queue that serves its tenants round robin, one item per turn (a deficit round robin in which every item
 * costs one quantum). While a tenant waits, at most one item of each other tenant is served before its next item. A
 * tenant that had no items joins at the end of the round.
 */

/** Queue of items by tenant. All operations but `remove` take amortized constant time. */
export interface FairQueue<T> {
  /** Adds an item behind the tenant's other items. False when the queue, or the tenant's part of it, is full. */
  readonly push: (tenant: string, item: T) => boolean
  /** The item that `shift` would return; undefined when the queue is empty. */
  readonly peek: () => T | undefined
  /** Removes and returns the next item; undefined when the queue is empty. */
  readonly shift: () => T | undefined
  /** Removes and returns all items that match. Takes time linear in the size of the queue. */
  readonly remove: (predicate: (item: T) => boolean) => T[]
  /** Number of items of all tenants. */
  readonly size: number
}

/**
 * A tenant may add an item only while it has fewer items than this many times the free places of the queue. The fuller
 * the queue, the smaller this bound: 80 items while 10 places are free, 8 items at the last free place. A tenant alone
 * fills at most about 8/9 of a queue of more than 8 places, so that a tenant that comes later still finds a place.
 */
const MAX_ITEMS_PER_FREE_PLACE = 8
/** Served items are cut off a tenant's array when they are at least this many and at least half of the array. */
const MIN_SERVED_BEFORE_COMPACT = 32

/** Items of one tenant, as a node of the ring of tenants that have items. `head` is the index of the next item. */
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
  /** The tenant that is served next. */
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
