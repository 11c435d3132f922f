/**
 * The catalogue of log events. Each event has a stable id and number, so that alerts can refer to it, a level, a
 * message template and the fields that it carries. Fields never hold tokens, idempotency keys or request bodies.
 */

export type LogLevel = 'error' | 'warn' | 'info' | 'debug'

/** One kind of log line. */
export interface LogEvent {
  readonly number: number
  readonly level: LogLevel
  /** Text for people; `{name}` is replaced by the field of that name. */
  readonly message: string
  readonly fields: readonly string[]
}

/** 1xxx life cycle, 2xxx requests, 3xxx upstreams, 4xxx peers, 5xxx platform, 6xxx operators. */
export const LOG_EVENTS = {
  'instance-started': {
    number: 1001,
    level: 'info',
    message: 'instance {instanceId} of zone {zone} accepts requests on {callerAddress}',
    fields: ['instanceId', 'zone', 'incarnation', 'callerAddress', 'operatorAddress', 'peerAddress']
  },
  'stop-requested': { number: 1002, level: 'info', message: 'planned stop begins', fields: ['instanceId'] },
  'instance-stopped': { number: 1003, level: 'info', message: 'planned stop is complete', fields: ['instanceId'] },
  'engine-fault': {
    number: 1004,
    level: 'error',
    message: 'handling the event {event} threw: {error}',
    fields: ['event', 'error']
  },
  'command-fault': {
    number: 1005,
    level: 'error',
    message: 'carrying out the command {command} threw: {error}',
    fields: ['command', 'error']
  },
  'loop-ended': { number: 1006, level: 'error', message: 'the event loop ended: {error}', fields: ['error'] },
  'request-rejected': {
    number: 2001,
    level: 'debug',
    message: 'request rejected with status {status}: {reason}',
    fields: ['status', 'reason']
  },
  'answer-dropped': {
    number: 2002,
    level: 'warn',
    message: 'answer of {target} dropped: it names another request',
    fields: ['requestId', 'attemptId', 'target']
  },
  'caller-reset': {
    number: 2003,
    level: 'warn',
    message: 'exchange {requestId} reset after a part of the answer was sent: {reason}',
    fields: ['requestId', 'reason']
  },
  'attempt-failed': {
    number: 3001,
    level: 'info',
    message: 'attempt {attemptId} at {target} failed: {error}',
    fields: ['requestId', 'attemptId', 'target', 'error', 'truncated']
  },
  'attempt-refused': {
    number: 3002,
    level: 'debug',
    message: 'attempt {attemptId} at {target} was refused before it ran: {proof}',
    fields: ['requestId', 'attemptId', 'target', 'proof']
  },
  'load-unread': {
    number: 3003,
    level: 'debug',
    message: 'load report of upstream {upstreamId} was not read: {error}',
    fields: ['upstreamId', 'error']
  },
  'peer-unreachable': {
    number: 4001,
    level: 'debug',
    message: 'peer {peerId} did not answer: {error}',
    fields: ['peerId', 'error']
  },
  'peer-rejected': { number: 4002, level: 'warn', message: 'a call to the peer port had a wrong token', fields: ['path'] },
  'list-unreadable': {
    number: 4003,
    level: 'error',
    message: 'list of instances from a peer was ignored: {error}',
    fields: ['error']
  },
  'configuration-adopted': {
    number: 5001,
    level: 'info',
    message: 'configuration version {version} is in force',
    fields: ['version', 'source']
  },
  'platform-unavailable': {
    number: 5002,
    level: 'warn',
    message: 'platform call {call} failed, next try in {retryMs} ms: {error}',
    fields: ['call', 'error', 'retryMs']
  },
  'platform-available': { number: 5003, level: 'info', message: 'platform call {call} succeeds again', fields: ['call'] },
  'configuration-unreadable': {
    number: 5004,
    level: 'error',
    message: 'configuration from {source} was ignored: {error}',
    fields: ['source', 'error']
  },
  'client-blocks-loaded': {
    number: 5005,
    level: 'info',
    message: '{blocks} client blocks are in use, {skipped} malformed ones were left out',
    fields: ['blocks', 'skipped']
  },
  'change-confirmed': {
    number: 6001,
    level: 'info',
    message: 'change {changeId} by {actor} became version {version}: {reason}',
    fields: ['changeId', 'actor', 'reason', 'version']
  },
  'change-refused': {
    number: 6002,
    level: 'info',
    message: 'change {changeId} by {actor} was refused: {error}',
    fields: ['changeId', 'actor', 'error']
  }
} as const satisfies Readonly<Record<string, LogEvent>>

export type LogEventId = keyof typeof LOG_EVENTS

/** Values of an event's fields. All must be given. */
export type LogFields<Id extends LogEventId> = {
  readonly [F in (typeof LOG_EVENTS)[Id]['fields'][number]]: string | number | boolean
}
