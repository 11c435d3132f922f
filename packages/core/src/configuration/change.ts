/**
 * Applies changes to a configuration, finds out whether a conditional write without a reply took effect, and selects
 * the changes that a peer lacks.
 */
import type { Result } from 'neverthrow'
import type { Change, Configuration } from '../configuration.js'
import type { ConfigurationProblem } from './problem.js'
import { err, ok } from 'neverthrow'
import { RECENT_CHANGES } from '../configuration.js'
import { applyOperations } from './apply-operations.js'

/**
 * Outcome of a write without a reply, as far as a later read shows it. `applied`: the write took effect. `lost`:
 * another change got its version. `retry`: neither happened yet, so the same conditional write may be sent again.
 * `unknown`: so many versions followed that the change would no longer be among the recent ones.
 */
export type WriteOutcome = 'applied' | 'lost' | 'retry' | 'unknown'

/**
 * Returns the configuration after a change. It must be written on the condition that the stored object still has the
 * version of `configuration`. Errors: `wrong-version` unless the change has the next version; the problems of its
 * operations.
 */
export function applyChange (configuration: Configuration, change: Change): Result<Configuration, readonly ConfigurationProblem[]> {
  const version = configuration.version + 1
  if (change.version !== version) {
    return err([{ code: 'wrong-version', key: change.changeId, detail: `version is ${change.version}, expected ${version}` }])
  }
  return applyOperations(configuration, change.operations)
    .map(applied => ({ ...applied, version, recent: [...configuration.recent, change].slice(-RECENT_CHANGES) }))
}

/** Determines the outcome of a write without a reply from the object that was read after it. */
export function determineWriteOutcome (readBack: Configuration, change: Change): WriteOutcome {
  if (readBack.recent.some(row => row.changeId === change.changeId)) return 'applied'
  if (readBack.version < change.version) return 'retry'
  return readBack.recent.some(row => row.version === change.version) ? 'lost' : 'unknown'
}

/** Returns the changes after a version, oldest first, or `undefined` if some are no longer among the recent ones. */
export function changesSince (configuration: Configuration, version: number): readonly Change[] | undefined {
  const changes = configuration.recent.filter(change => change.version > version)
  return changes.length === configuration.version - version ? changes : undefined
}

/** Applies changes received from a peer, oldest first. Errors: as for `applyChange`. */
export function applyChanges (
  configuration: Configuration, changes: readonly Change[]
): Result<Configuration, readonly ConfigurationProblem[]> {
  return changes.reduce<Result<Configuration, readonly ConfigurationProblem[]>>(
    (result, change) => result.andThen(current => applyChange(current, change)),
    ok(configuration)
  )
}
