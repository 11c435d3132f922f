/**
 * Accepted changes: the value that a conditional write stores, what became of a write whose reply was lost, and the
 * changes that bring a peer up to date.
 */
import type { Result } from 'neverthrow'
import type { Change, Configuration } from '../configuration.js'
import type { ConfigurationProblem } from './problem.js'
import { err, ok } from 'neverthrow'
import { RECENT_CHANGES } from '../configuration.js'
import { applyOperations } from './apply-operations.js'

/**
 * What a read after a write without a reply shows. `applied`: the write took effect. `lost`: another change took its
 * version. `retry`: neither, so the same conditional write is sent again. `unknown`: so many versions followed that
 * the change would no longer be among the recent ones.
 */
export type WriteOutcome = 'applied' | 'lost' | 'retry' | 'unknown'

/**
 * Returns the value to write on the condition that the object still has the version of `configuration`. Errors:
 * `wrong-version` unless the change has the next version, and the problems of its operations.
 */
export function nextConfiguration (configuration: Configuration, change: Change): Result<Configuration, readonly ConfigurationProblem[]> {
  const version = configuration.version + 1
  if (change.version !== version) {
    return err([{ code: 'wrong-version', key: change.changeId, detail: `version is ${change.version}, expected ${version}` }])
  }
  return applyOperations(configuration, change.operations)
    .map(applied => ({ ...applied, version, recent: [...configuration.recent, change].slice(-RECENT_CHANGES) }))
}

/** Settles a write without a reply by the object read back after it. */
export function settleWrite (readBack: Configuration, change: Change): WriteOutcome {
  if (readBack.recent.some(row => row.changeId === change.changeId)) return 'applied'
  if (readBack.version < change.version) return 'retry'
  return readBack.recent.some(row => row.version === change.version) ? 'lost' : 'unknown'
}

/** The changes after a version, oldest first, or `undefined` if they are no longer all among the recent ones. */
export function changesSince (configuration: Configuration, version: number): readonly Change[] | undefined {
  const changes = configuration.recent.filter(change => change.version > version)
  return changes.length === configuration.version - version ? changes : undefined
}

/** Applies changes that a peer sent, oldest first. Errors as `nextConfiguration`. */
export function applyChanges (
  configuration: Configuration, changes: readonly Change[]
): Result<Configuration, readonly ConfigurationProblem[]> {
  return changes.reduce<Result<Configuration, readonly ConfigurationProblem[]>>(
    (result, change) => result.andThen(current => nextConfiguration(current, change)),
    ok(configuration)
  )
}
