/**
 * Issues idempotency keys and records their outcomes. The instance that issued a key is the key's home. Only the home
 * runs a request with the key, at most once, and it keeps the outcome in memory while the key is valid. When the home
 * restarts, the outcomes are lost: requests with its old keys are answered `unknown` and are never run again.
 */
import type { Result } from 'neverthrow'
import type { Command } from '../command.js'
import type { IssuedKeys, QueryError } from '../create-engine.js'
import type { RecordedAnswer } from '../event.js'
import type { Outcome, Reason } from '../reason.js'
import type { World } from '../tables.js'
import { randomBytes } from 'node:crypto'
import { err, ok } from 'neverthrow'
import { formatKey, parseKey, verifyTag } from './key-format.js'

/** Time for which a key is accepted after it was issued, on the issuer's clock. */
export const KEY_VALIDITY_MS = 600_000
/** Keys with a record. 50,000 records with four headers and no body take 30 MB. */
export const MAX_KEY_RECORDS = 50_000
/** Keys issued by one call, so that a single call can't block the event loop. */
export const MAX_KEYS_PER_ISSUE = 1_000
/** Largest recorded body. The answer is recorded without its body if that is larger. */
export const MAX_RECORDED_BODY_BYTES = 4_096
/**
 * Total size of the recorded bodies. 50,000 bodies of 4 KiB would take 205 MB, but a node has only 128 MB for all
 * control functions.
 */
export const MAX_RECORDED_BYTES = 32 * 1024 * 1024

const SECRET_BYTES = 32
/** Records that were issued within the same interval of this length are dropped together. */
const EXPIRY_BUCKET_MS = 1_000

/** How a request that carries a key is to be handled. */
export type Claim =
  /** Run the request here. The caller of `claim` must then call `settle`. */
  | { readonly type: 'run' }
  /** Wait for another request with the key. `settle` returns the answer, unless `abandon` was called before. */
  | { readonly type: 'wait' }
  /** Forward the request to the key's home. */
  | { readonly type: 'forward', readonly instanceId: string }
  /** Send the recorded answer again. */
  | { readonly type: 'replay', readonly answer: RecordedAnswer }
  /** Answer with the outcome and reason, without running the request. */
  | { readonly type: 'respond', readonly outcome: Outcome, readonly reason: Reason }

/** Issues keys and stores one final outcome for each. */
export interface KeyStore {
  /** Errors: `key-table-full`; `request-malformed` for a count outside 1 to `MAX_KEYS_PER_ISSUE`. */
  readonly issue: (count: number, now: number) => Result<IssuedKeys, QueryError>
  /** Decides how to handle a request with a key. The first request with a valid key gets `run`. */
  readonly claim: (key: string, requestId: string, now: number) => Claim
  /**
   * Ends the run of a key and records its outcome. Only the first call by the request that runs the key has an effect.
   * Returns a `replay` or `respond` command for each waiting request. A `served` answer whose body is too large must be
   * passed without the body, so that its status is still replayed.
   */
  readonly settle: (
    key: string, requestId: string, outcome: Outcome, reason: Reason, answer: RecordedAnswer | undefined, now: number
  ) => readonly Command[]
  /** Removes a waiting request whose caller has disconnected. Does not affect the request that runs. */
  readonly abandon: (requestId: string) => void
}

export interface KeyStoreOptions {
  readonly world: World
  /** Secret that signs the keys. Random by default; set by tests. */
  readonly secret?: Uint8Array
  /** `MAX_KEY_RECORDS` by default; set by tests. */
  readonly maxKeys?: number
}

type FinalAnswer = Exclude<Claim, { type: 'run' | 'wait' | 'forward' }>

interface Running {
  readonly state: 'running'
  readonly requestId: string
  readonly waitingRequestIds: Set<string>
}

interface Settled {
  readonly state: 'settled'
  readonly finalAnswer: FinalAnswer
  readonly bytes: number
}

/** HTTP status of answers without a recorded upstream answer. */
const STATUS_BY_OUTCOME: { readonly [O in Outcome]: number } = { served: 200, 'not-run': 503, unknown: 502 }

const KEY_IN_DOUBT: FinalAnswer = { type: 'respond', outcome: 'unknown', reason: 'key-in-doubt' }

/** Creates an empty key store. Its secret is lost on restart, so a new incarnation can't verify the old keys. */
export function createKeyStore (options: KeyStoreOptions): KeyStore {
  const { world, secret = randomBytes(SECRET_BYTES), maxKeys = MAX_KEY_RECORDS } = options
  const { id: issuer, incarnation } = world.self
  const records = new Map<number, Running | Settled>()
  const expiryBuckets = new Map<number, number[]>()
  const sequenceByWaitingRequest = new Map<string, number>()
  let lastSequence = 0
  let recordedBytes = 0
  let nextExpiryAt = 0

  function addToBucket (bucket: number, sequence: number): void {
    const sequences = expiryBuckets.get(bucket)
    if (sequences === undefined) expiryBuckets.set(bucket, [sequence])
    else sequences.push(sequence)
  }

  /** Drops expired records, except those of running keys, for which requests may be waiting. */
  function expire (now: number): void {
    if (now < nextExpiryAt) return
    nextExpiryAt = now + EXPIRY_BUCKET_MS
    const currentBucket = Math.floor(now / EXPIRY_BUCKET_MS)
    const oldestBucket = Math.floor((now - KEY_VALIDITY_MS) / EXPIRY_BUCKET_MS)
    for (const [bucket, sequences] of [...expiryBuckets]) {
      if (bucket >= oldestBucket) continue
      expiryBuckets.delete(bucket)
      for (const sequence of sequences) {
        const record = records.get(sequence)
        if (record?.state === 'running') addToBucket(currentBucket, sequence)
        else if (record !== undefined) {
          recordedBytes -= record.bytes
          records.delete(sequence)
        }
      }
    }
  }

  function issue (count: number, now: number): Result<IssuedKeys, QueryError> {
    if (!Number.isInteger(count) || count < 1 || count > MAX_KEYS_PER_ISSUE) return err({ reason: 'request-malformed' })
    expire(now)
    if (records.size >= maxKeys) return err({ reason: 'key-table-full' })
    const keys = Array.from({ length: count }, () => {
      lastSequence += 1
      return formatKey({ issuer, incarnation, sequence: lastSequence, issuedAt: Math.floor(now) }, secret)
    })
    return ok({ keys, validMs: KEY_VALIDITY_MS })
  }

  function claim (key: string, requestId: string, now: number): Claim {
    const parsed = parseKey(key)
    if (parsed === undefined) return { type: 'respond', outcome: 'not-run', reason: 'key-invalid' }
    if (parsed.issuer !== issuer) {
      // Forward even to a silent home: it may still be reachable, and only the home knows the key's outcome.
      if (world.instances.has(parsed.issuer)) return { type: 'forward', instanceId: parsed.issuer }
      return { type: 'respond', outcome: 'unknown', reason: 'key-home-unreachable' }
    }
    // The previous incarnation's secret and records are lost, so the key can't be verified and may have run.
    if (parsed.incarnation !== incarnation) return { type: 'respond', outcome: 'unknown', reason: 'key-home-unreachable' }
    if (!verifyTag(key, secret)) return { type: 'respond', outcome: 'not-run', reason: 'key-invalid' }
    return claimIssuedHere(parsed.sequence, parsed.issuedAt, requestId, now)
  }

  function claimIssuedHere (sequence: number, issuedAt: number, requestId: string, now: number): Claim {
    expire(now)
    const record = records.get(sequence)
    if (record?.state === 'running') {
      record.waitingRequestIds.add(requestId)
      sequenceByWaitingRequest.set(requestId, sequence)
      return { type: 'wait' }
    }
    if (now - issuedAt >= KEY_VALIDITY_MS) return { type: 'respond', outcome: 'unknown', reason: 'key-expired' }
    if (record !== undefined) return record.finalAnswer
    // `not-run` is final and needs a record to prevent a later run. Without room for one, the answer is `unknown`.
    if (records.size >= maxKeys) return { type: 'respond', outcome: 'unknown', reason: 'key-table-full' }
    records.set(sequence, { state: 'running', requestId, waitingRequestIds: new Set() })
    addToBucket(Math.floor(issuedAt / EXPIRY_BUCKET_MS), sequence)
    return { type: 'run' }
  }

  /** Returns the answer to record, without its body if that would exceed a memory limit. */
  function limitBody (answer: RecordedAnswer): { readonly answer: RecordedAnswer, readonly bytes: number } {
    const { status, headers, body } = answer
    const bytes = body?.byteLength ?? 0
    if (body === undefined || bytes > MAX_RECORDED_BODY_BYTES || recordedBytes + bytes > MAX_RECORDED_BYTES) {
      return { answer: { status, headers }, bytes: 0 }
    }
    // Copy the body, because it may be a view that keeps a larger receive buffer in memory.
    return { answer: { status, headers, body: Uint8Array.from(body) }, bytes }
  }

  function createSettledRecord (outcome: Outcome, reason: Reason, answer: RecordedAnswer | undefined): Settled {
    if (outcome === 'unknown') return { state: 'settled', finalAnswer: KEY_IN_DOUBT, bytes: 0 }
    if (outcome === 'not-run') return { state: 'settled', finalAnswer: { type: 'respond', outcome, reason }, bytes: 0 }
    if (answer === undefined) {
      return { state: 'settled', finalAnswer: { type: 'respond', outcome, reason: 'replayed' }, bytes: 0 }
    }
    const recorded = limitBody(answer)
    return { state: 'settled', finalAnswer: { type: 'replay', answer: recorded.answer }, bytes: recorded.bytes }
  }

  function settle (
    key: string, requestId: string, outcome: Outcome, reason: Reason, answer: RecordedAnswer | undefined, now: number
  ): readonly Command[] {
    const parsed = parseKey(key)
    if (parsed?.issuer !== issuer || parsed.incarnation !== incarnation) return []
    const running = records.get(parsed.sequence)
    if (running?.state !== 'running' || running.requestId !== requestId) return []
    const settled = createSettledRecord(outcome, reason, answer)
    recordedBytes += settled.bytes
    records.set(parsed.sequence, settled)
    expire(now)
    return [...running.waitingRequestIds].map(waiting => {
      sequenceByWaitingRequest.delete(waiting)
      return answerWaitingRequest(waiting, settled.finalAnswer)
    })
  }

  return {
    issue,
    claim,
    settle,
    abandon: requestId => {
      const sequence = sequenceByWaitingRequest.get(requestId)
      if (sequence === undefined) return
      sequenceByWaitingRequest.delete(requestId)
      const running = records.get(sequence)
      if (running?.state === 'running') running.waitingRequestIds.delete(requestId)
    }
  }
}

function answerWaitingRequest (requestId: string, finalAnswer: FinalAnswer): Command {
  if (finalAnswer.type === 'replay') return { type: 'replay', requestId, answer: finalAnswer.answer }
  return { type: 'respond', requestId, outcome: finalAnswer.outcome, reason: finalAnswer.reason, status: STATUS_BY_OUTCOME[finalAnswer.outcome] }
}
