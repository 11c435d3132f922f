/**
 * Secondary index of a table: the ids of the rows by group, such as upstreams by service and zone. Tables have no
 * change counter, so the index is rebuilt when the size of the table changes and at intervals. A queried group of up to
 * `MAX_CHECKED_GROUP_SIZE` ids is also compared with the table, and the index is rebuilt if one of its rows was removed.
 * An id of a larger group may name a row that was just removed.
 */

/**
 * Age at which the index is rebuilt. Bounds the time until a new row appears in the index if another row was removed
 * meanwhile, so that the size of the table is unchanged.
 */
const MAX_INDEX_AGE_MS = 250

/** Size up to which every id of a group is looked up in the table on each call. */
const MAX_CHECKED_GROUP_SIZE = 64

/** Returns the ids of a group. Returns the same array until the index is rebuilt. */
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
