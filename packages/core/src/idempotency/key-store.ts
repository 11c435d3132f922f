/**
 * Idempotency keys and their outcomes. The instance that issued a key is its home: only the home runs a request with
 * it, at most once, and keeps the outcome in memory while the key is valid. The loss of the home's memory loses the
 * outcomes, so its keys are answered `unknown`; it never leads to a second run.
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

/** How long a key is accepted after its issue, by the issuer's clock. */
export const KEY_VALIDITY_MS = 600_000
/** Keys with a record. 50,000 records with four headers and no body take 30 MB. */
export const MAX_KEY_RECORDS = 50_000
/** Keys issued by one call, so that one client can't occupy the loop. */
export const MAX_KEYS_PER_ISSUE = 1_000
/** A recorded body may have this size; a larger one is not kept. */
export const MAX_RECORDED_BODY_BYTES = 4_096
/** All recorded bodies together. 50,000 bodies of 4 KiB would take 205 MB, and a node has 128 MB for all control. */
export const MAX_RECORDED_BYTES = 32 * 1024 * 1024

const SECRET_BYTES = 32
/** Records are dropped in groups by their issue time. */
const EXPIRY_BUCKET_MS = 1_000

/** What to do with a request that carries a key. */
export type Claim =
  /** The request runs here; the caller of `claim` must end it with `settle`. */
  | { readonly type: 'run' }
  /** Another request with the key runs; `settle` returns the answer, unless the request is abandoned before. */
  | { readonly type: 'wait' }
  /** Another instance is the key's home. */
  | { readonly type: 'forward', readonly instanceId: string }
  | { readonly type: 'replay', readonly answer: RecordedAnswer }
  | { readonly type: 'respond', readonly outcome: Outcome, readonly reason: Reason }

/** Issues keys and gives each its one final outcome. */
export interface KeyStore {
  /** Errors: `key-table-full`; `request-malformed` for a count outside 1 to `MAX_KEYS_PER_ISSUE`. */
  readonly issue: (count: number, now: number) => Result<IssuedKeys, QueryError>
  readonly claim: (key: string, requestId: string, now: number) => Claim
  /**
   * Ends the run of a key. The first call decides; later ones, and calls of requests that do not run the key, change
   * nothing. Returns `replay` or `respond` for each request that waits. A `served` answer whose body is too large
   * must still be passed with its status, without the body.
   */
  readonly settle: (
    key: string, requestId: string, outcome: Outcome, reason: Reason, answer: RecordedAnswer | undefined, now: number
  ) => readonly Command[]
  /** Forgets a waiting request whose caller has gone. Changes nothing for the request that runs. */
  readonly abandon: (requestId: string) => void
}

/** What a key store needs. `secret` and `maxKeys` are for tests. */
export interface KeyStoreOptions {
  readonly world: World
  readonly secret?: Uint8Array
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

/** Status of answers that the system makes. The status of an upstream's answer is in its record. */
const STATUS_BY_OUTCOME: { readonly [O in Outcome]: number } = { served: 200, 'not-run': 503, unknown: 502 }

const KEY_IN_DOUBT: FinalAnswer = { type: 'respond', outcome: 'unknown', reason: 'key-in-doubt' }

/** Creates an empty key store. A new incarnation has a new store and a new secret. */
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

  /** Drops expired records. A key that still runs keeps its record, because requests may wait for it. */
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
      // A silent home is tried too: a silent mark may be wrong, and only the home may say what became of the key.
      if (world.instances.has(parsed.issuer)) return { type: 'forward', instanceId: parsed.issuer }
      return { type: 'respond', outcome: 'unknown', reason: 'key-home-unreachable' }
    }
    // The secret of another incarnation is gone, so whether that incarnation issued and ran the key can't be told.
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
    // `not-run` would be final and need a record. Without one a duplicate may still run later, so it is `unknown`.
    if (records.size >= maxKeys) return { type: 'respond', outcome: 'unknown', reason: 'key-table-full' }
    records.set(sequence, { state: 'running', requestId, waitingRequestIds: new Set() })
    addToBucket(Math.floor(issuedAt / EXPIRY_BUCKET_MS), sequence)
    return { type: 'run' }
  }

  /** Limits what an answer keeps in memory. */
  function limitBody (answer: RecordedAnswer): { readonly answer: RecordedAnswer, readonly bytes: number } {
    const { status, headers, body } = answer
    const bytes = body?.byteLength ?? 0
    if (body === undefined || bytes > MAX_RECORDED_BODY_BYTES || recordedBytes + bytes > MAX_RECORDED_BYTES) {
      return { answer: { status, headers }, bytes: 0 }
    }
    // A copy, because the body may be a view of a larger receive buffer.
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
