/**
 * Idempotency keys that this instance issued, and their outcomes.
 */
import type { Result } from 'neverthrow'
import type { Command } from '../command.js'
import type { IssuedKeys, QueryError } from '../create-engine.js'
import type { RecordedAnswer } from '../event.js'
import type { Outcome, Reason } from '../reason.js'

/** What a request with a key is to do. */
export type Claim =
  | { readonly type: 'run' }
  | { readonly type: 'wait' }
  | { readonly type: 'forward', readonly instanceId: string }
  | { readonly type: 'replay', readonly answer: RecordedAnswer }
  | { readonly type: 'respond', readonly outcome: Outcome, readonly reason: Reason }

/** Keys of this instance's incarnation. */
export interface KeyStore {
  issue (count: number, now: number): Result<IssuedKeys, QueryError>
  claim (key: string, requestId: string, now: number): Claim
  /** Records the final outcome of a key; returns the answers of the requests that wait for it. */
  settle (
    key: string, requestId: string, outcome: Outcome, reason: Reason, answer: RecordedAnswer | undefined, now: number
  ): readonly Command[]
  /** Removes a request that waits for a key's outcome. */
  abandon (requestId: string): void
}
