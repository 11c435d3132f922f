/**
 * Decides from the stored configuration what became of a change. Two writes with the same expected version can't
 * both take effect, so the change that holds the version after the base settles it.
 */
import type { Change, Configuration, ConfigurationTable, Operation } from '@arbutustray/core'
import { RECENT_CHANGES, rowKey } from '@arbutustray/core'

/** A change that was confirmed against a base version. */
export interface PendingChange extends Omit<Change, 'version'> {
  readonly baseVersion: number
}

/**
 * `written`: it took effect. `open`: the base is still the newest version. `lost-race`: another change followed the
 * base. `undecidable`: the changes after the base are no longer stored. `behind`: the store is older than the base.
 */
export type Settlement = 'written' | 'open' | 'lost-race' | 'undecidable' | 'behind'

/** Compares the stored configuration with the change. */
export function settleWrite (stored: Configuration, change: PendingChange): Settlement {
  if (stored.recent.some(recent => recent.changeId === change.changeId)) return 'written'
  if (stored.version === change.baseVersion) return 'open'
  if (stored.version < change.baseVersion) return 'behind'
  const follower = change.baseVersion + 1
  return stored.recent.some(recent => recent.version === follower) ? 'lost-race' : 'undecidable'
}

function applyOperation (configuration: Configuration, operation: Operation): Configuration {
  const table: ConfigurationTable = operation.table
  const rows: ReadonlyArray<Configuration[ConfigurationTable][number]> = configuration[table]
  const key = 'put' in operation ? rowKey(table, operation.put) : operation.remove
  const others = rows.filter(row => rowKey(table, row) !== key)
  return { ...configuration, [table]: 'put' in operation ? [...others, operation.put] : others }
}

/** The configuration after the change, with the change among its recent ones. */
export function nextConfiguration (base: Configuration, pending: PendingChange): Configuration {
  const { baseVersion, ...rest } = pending
  const change: Change = { version: baseVersion + 1, ...rest }
  const applied = change.operations.reduce(applyOperation, base)
  return { ...applied, version: change.version, recent: [...base.recent, change].slice(-RECENT_CHANGES) }
}
