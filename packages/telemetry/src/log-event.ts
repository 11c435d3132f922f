/**
 * The catalogue of log events. Each event has a stable id and number, so that alerts can refer to it, a level, a
 * message template and the fields that it carries. Fields never hold tokens, API keys,
 * idempotency keys or request bodies.
 */

export type LogLevel = 'error' | 'warn' | 'info' | 'debug'

/** One kind of log line. */
export interface LogEvent {
  readonly number: number
  readonly level: LogLevel
  /** Message template; `{name}` is replaced by the value of the field of that name. */
  readonly message: string
  readonly fields: readonly string[]
}

/** Log events by id. Number ranges: 1xxx life cycle, 2xxx requests, 3xxx upstreams, 4xxx peers, 5xxx platform, 6xxx operators. */
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
  'loop-ended': { number: 1006, level: 'error', message: 'the engine\'s event loop stopped on an error: {error}', fields: ['error'] },
  'gateway-started': {
    number: 1101,
    level: 'info',
    message: 'instance {instanceId} of zone {zone} listens for callers on {callerAddress}',
    fields: ['instanceId', 'zone', 'callerAddress']
  },
  'gateway-ready': {
    number: 1102,
    level: 'info',
    message: 'instance accepts requests with configuration version {version} and {upstreams} upstreams, {startMs} ms after its start',
    fields: ['version', 'upstreams', 'startMs']
  },
  'gateway-stopping': {
    number: 1103,
    level: 'info',
    message: 'planned stop begins with {pending} requests in flight',
    fields: ['pending']
  },
  'gateway-stopped': {
    number: 1104,
    level: 'info',
    message: 'planned stop is complete; {pending} requests were still in flight',
    fields: ['pending']
  },
  'settings-reloaded': { number: 1105, level: 'info', message: 'reload of the settings file: {result}', fields: ['result'] },
  'lines-dropped': {
    number: 1106,
    level: 'warn',
    message: '{count} log lines were dropped in the last second, {blocked} of them because standard output did not drain',
    fields: ['count', 'blocked']
  },
  'address-unavailable': {
    number: 1107,
    level: 'error',
    message: 'could not listen on {address} for the {purpose} port: {error}',
    fields: ['purpose', 'address', 'error']
  },
  'process-fault': { number: 1108, level: 'error', message: 'an error that nothing handled; the process goes on: {error}', fields: ['error'] },
  'request-rejected': {
    number: 2001,
    level: 'debug',
    message: 'request rejected with status {status}: {reason}',
    fields: ['status', 'reason']
  },
  'answer-dropped': {
    number: 2002,
    level: 'warn',
    message: 'answer from {target} was dropped because it names another request',
    fields: ['requestId', 'attemptId', 'target']
  },
  'caller-reset': {
    number: 2003,
    level: 'warn',
    message: 'answer to request {requestId} was cut off after a part of it was sent: {reason}',
    fields: ['requestId', 'reason']
  },
  'callers-waiting': {
    number: 2004,
    level: 'warn',
    message: 'connections of callers wait up to {waitMs} ms to be accepted; {open} are open and {queued} requests wait to be handled',
    fields: ['waitMs', 'open', 'queued']
  },
  'callers-accepted': {
    number: 2005,
    level: 'info',
    message: 'no connection of a caller waits to be accepted any more; the longest wait was {waitMs} ms',
    fields: ['waitMs']
  },
  'connections-short': {
    number: 2006,
    level: 'warn',
    message: 'callers hold {open} of at most {max} connections, so idle ones are closed; {dropped} were closed unread shortly before',
    fields: ['open', 'max', 'dropped']
  },
  'slow-caller-closed': {
    number: 2007,
    level: 'warn',
    message: 'answers fill the memory, so the connection of a caller was closed that read {readBytes} bytes in a second while {heldBytes} bytes were held for it',
    fields: ['heldBytes', 'readBytes']
  },
  'request-served': {
    number: 2101,
    level: 'info',
    message: 'request {requestId} answered by an upstream with status {status}',
    fields: ['requestId', 'route', 'team', 'status', 'durationMs', 'version', 'decisions']
  },
  'request-refused': {
    number: 2102,
    level: 'info',
    message: 'request {requestId} refused with status {status}: {reason}; it has not run',
    fields: ['requestId', 'route', 'team', 'status', 'reason', 'retryAfterMs', 'durationMs', 'version', 'decisions']
  },
  'request-unanswered': {
    number: 2103,
    level: 'warn',
    message: 'request {requestId} ended with status {status}: {reason}; it may have run',
    fields: ['requestId', 'route', 'team', 'status', 'reason', 'durationMs', 'version', 'decisions']
  },
  'request-abandoned': {
    number: 2104,
    level: 'info',
    message: 'caller of request {requestId} closed its connection',
    fields: ['requestId', 'team', 'durationMs', 'decisions']
  },
  'request-not-sent': {
    number: 2105,
    level: 'info',
    message: 'request {requestId} ended with status {status}: {reason}; it was not sent to an upstream',
    fields: ['requestId', 'route', 'team', 'status', 'reason', 'durationMs', 'version', 'decisions']
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
    message: 'load report of upstream {upstreamId} could not be read: {error}',
    fields: ['upstreamId', 'error']
  },
  'upstream-belief': {
    number: 3101,
    level: 'info',
    message: '{subject} {upstreamId}: {detail}',
    fields: ['subject', 'upstreamId', 'detail']
  },
  'peer-unreachable': {
    number: 4001,
    level: 'debug',
    message: 'peer {peerId} did not answer: {error}',
    fields: ['peerId', 'error']
  },
  'peer-rejected': { number: 4002, level: 'warn', message: 'call to the peer port was rejected because of a wrong token', fields: ['path'] },
  'list-unreadable': {
    number: 4003,
    level: 'error',
    message: 'invalid list of instances from a peer was ignored: {error}',
    fields: ['error']
  },
  'peer-silent': { number: 4101, level: 'warn', message: 'instance {peerId} does not answer: {error}', fields: ['peerId', 'error'] },
  'peer-answers': { number: 4102, level: 'info', message: 'instance {peerId} answers again', fields: ['peerId'] },
  'view-adopted': {
    number: 4103,
    level: 'info',
    message: '{kind} data of revision {revision} copied from instance {peerId}',
    fields: ['kind', 'revision', 'peerId']
  },
  'poll-unreadable': { number: 4104, level: 'warn', message: 'a poll was rejected because its sender can\'t be read: {sender}', fields: ['sender'] },
  'quota-unreadable': {
    number: 4105,
    level: 'warn',
    message: 'quota rows from instance {peerId} can\'t be read and are ignored; later ones are not logged',
    fields: ['peerId']
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
    message: 'platform call {call} failed, next attempt in {retryMs} ms: {error}',
    fields: ['call', 'error', 'retryMs']
  },
  'platform-available': { number: 5003, level: 'info', message: 'platform call {call} succeeds again', fields: ['call'] },
  'configuration-unreadable': {
    number: 5004,
    level: 'error',
    message: 'invalid configuration from {source} was ignored: {error}',
    fields: ['source', 'error']
  },
  'client-blocks-loaded': {
    number: 5005,
    level: 'info',
    message: '{blocks} client address blocks were loaded, {skipped} malformed ones were skipped',
    fields: ['blocks', 'skipped']
  },
  'store-lost': { number: 5101, level: 'warn', message: 'store call {call} failed: {error}', fields: ['call', 'error'] },
  'store-regained': {
    number: 5102,
    level: 'info',
    message: 'store call {call} succeeds again after {outageMs} ms, at revision {revision}',
    fields: ['call', 'outageMs', 'revision']
  },
  'store-entry-ignored': {
    number: 5103,
    level: 'warn',
    message: 'store entry {name} of kind {kind} was ignored: {error}',
    fields: ['kind', 'name', 'error']
  },
  'zone-evacuation': { number: 5104, level: 'info', message: 'evacuation of zone {zone} {detail}', fields: ['zone', 'detail'] },
  'deployment-in-force': {
    number: 5105,
    level: 'info',
    message: 'configuration version {version} is in force',
    fields: ['version', 'detail']
  },
  'store-reading': {
    number: 5106,
    level: 'info',
    message: 'reading of {kind} from the store {state}, at revision {revision}',
    fields: ['kind', 'state', 'revision']
  },
  'team-key-conflict': {
    number: 5107,
    level: 'warn',
    message: 'API keys of team {team} do not identify it: {detail}',
    fields: ['team', 'detail']
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

/** Values of an event's fields. All are required. */
export type LogFields<Id extends LogEventId> = {
  readonly [F in (typeof LOG_EVENTS)[Id]['fields'][number]]: string | number | boolean
}
