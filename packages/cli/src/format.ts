/**
 * Formats what the commands print for people.
 */
import type { Operation, Plan } from '@arbutustray/core'
import { rowKey } from '@arbutustray/core'

/** Formats rows as aligned columns with a heading. The columns are the keys of all rows; nested values are left out. */
export function formatTable (rows: ReadonlyArray<Readonly<Record<string, unknown>>>): string {
  const columns = [...new Set(rows.flatMap(row => Object.keys(row).filter(key => typeof row[key] !== 'object')))]
  const cells = [columns, ...rows.map(row => columns.map(column => String(row[column] ?? '')))]
  const widths = columns.map((_, index) => Math.max(...cells.map(line => line[index]?.length ?? 0)))
  return cells.map(line => `  ${line.map((cell, index) => cell.padEnd(widths[index] ?? 0)).join('  ').trimEnd()}`).join('\n')
}

/** Formats a share of 0 to 1 as a percentage. */
export function formatShare (share: number): string {
  return `${(100 * share).toFixed(1)}%`
}

function formatOperation (operation: Operation): string {
  if ('remove' in operation) return `  remove ${operation.table} ${operation.remove}`
  return `  put ${operation.table} ${rowKey(operation.table, operation.put)}`
}

/** Formats the base version, operations, moves and blockers of a plan. */
export function formatPlan (plan: Plan): string {
  const moves = plan.moves.map(move => ({ ...move, share: formatShare(move.share), cap: formatShare(move.cap) }))
  return [
    `plan ${plan.planId} on version ${plan.baseVersion}`,
    `operations: ${plan.operations.length}`,
    ...plan.operations.map(formatOperation),
    `moves: ${plan.moves.length === 0 ? 'none' : ''}`.trimEnd(),
    ...(plan.moves.length === 0 ? [] : [formatTable(moves)]),
    `blockers: ${plan.blockers.length === 0 ? 'none' : ''}`.trimEnd(),
    ...plan.blockers.map(blocker => `  ${blocker}`)
  ].join('\n')
}
