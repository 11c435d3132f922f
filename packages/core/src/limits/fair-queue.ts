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
const FREE_PLACES_FACTOR = 8
/** Served items in front of a tenant's list are dropped when there are this many and they are half of it. */
const COMPACT_AT = 32

/** One tenant in the ring of tenants that have items. */
interface Line<T> {
  readonly tenant: string
  items: T[]
  head: number
  next: Line<T>
  previous: Line<T>
}

/** Creates an empty queue for at most `maxItems` items. */
export function createFairQueue<T> (maxItems: number): FairQueue<T> {
  const lines = new Map<string, Line<T>>()
  /** The tenant whose turn it is. */
  let turn: Line<T> | undefined
  let size = 0

  function join (tenant: string): Line<T> {
    const line = { tenant, items: [], head: 0 } as unknown as Line<T>
    line.next = turn ?? line
    line.previous = turn?.previous ?? line
    line.previous.next = line
    line.next.previous = line
    turn ??= line
    lines.set(tenant, line)
    return line
  }

  function leave (line: Line<T>): void {
    lines.delete(line.tenant)
    line.previous.next = line.next
    line.next.previous = line.previous
    if (turn === line) turn = line.next === line ? undefined : line.next
  }

  function compact (line: Line<T>): void {
    if (line.head < COMPACT_AT || line.head * 2 < line.items.length) return
    line.items = line.items.slice(line.head)
    line.head = 0
  }

  function shift (): T | undefined {
    if (turn === undefined) return undefined
    const line = turn
    const item = line.items[line.head] as T
    line.items[line.head] = undefined as T
    line.head += 1
    size -= 1
    turn = line.next
    if (line.head === line.items.length) leave(line)
    else compact(line)
    return item
  }

  function remove (predicate: (item: T) => boolean): T[] {
    const removed: T[] = []
    for (const line of [...lines.values()]) {
      const kept: T[] = []
      for (const item of line.items.slice(line.head)) (predicate(item) ? removed : kept).push(item)
      line.items = kept
      line.head = 0
      if (kept.length === 0) leave(line)
    }
    size -= removed.length
    return removed
  }

  return {
    push: (tenant, item) => {
      const line = lines.get(tenant)
      const held = line === undefined ? 0 : line.items.length - line.head
      if (size >= maxItems || held >= FREE_PLACES_FACTOR * (maxItems - size)) return false
      const target = line ?? join(tenant)
      target.items.push(item)
      size += 1
      return true
    },
    peek: () => turn?.items[turn.head],
    shift,
    remove,
    get size () { return size }
  }
}
