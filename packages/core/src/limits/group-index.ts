/**
 * Ids of a table's rows by group. Tables have no change counter, so the index is rebuilt when the table's size
 * changes, when a known row of a small group is missing, and at intervals. An id can therefore name a row that was
 * removed a moment ago.
 */

/** Time after which an addition that left the size of the table unchanged is seen at the latest. */
const MAX_INDEX_AGE_MS = 250

/** Largest group whose rows are all looked up each time. */
const MAX_CHECKED_GROUP_SIZE = 64

/** Gives the ids of a group. The same array is returned until the index is rebuilt. */
export type GroupIndex = (group: string, now: number) => readonly string[]

const NO_IDS: readonly string[] = []

/** Creates the index of a table. The group of a row must not change while the row's id stays in the table. */
export function createGroupIndex<R> (table: ReadonlyMap<string, R>, groupOf: (row: R) => string): GroupIndex {
  let groups = new Map<string, string[]>()
  let size = -1
  let builtAt = -Infinity

  function rebuild (now: number): void {
    groups = new Map()
    for (const [id, row] of table) {
      const group = groupOf(row)
      const ids = groups.get(group)
      if (ids === undefined) groups.set(group, [id])
      else ids.push(id)
    }
    size = table.size
    builtAt = now
  }

  return (group, now) => {
    if (table.size !== size || now - builtAt >= MAX_INDEX_AGE_MS) rebuild(now)
    const ids = groups.get(group) ?? NO_IDS
    if (ids.length > MAX_CHECKED_GROUP_SIZE) return ids
    for (const id of ids) {
      if (table.has(id)) continue
      rebuild(now)
      return groups.get(group) ?? NO_IDS
    }
    return ids
  }
}
