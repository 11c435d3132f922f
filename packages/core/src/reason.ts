/**
 * Outcomes and reasons of requests. Every answer carries one of each, so that operators and auditors can tell why a
 * request was served, refused, or served in another zone.
 */

/** `served`: an upstream ran it and this is its answer. `not-run`: no upstream ran it. `unknown`: it may have run. */
export type Outcome = 'served' | 'not-run' | 'unknown'

/** Descriptions for people, by reason. The keys are part of the public interface. */
export const REASONS = {
  'no-configuration': 'this instance has no configuration yet',
  'unknown-service': 'the service is not configured',
  'unknown-route': 'no route of the service matches the request',
  'key-required': 'the route is protected and the request has no idempotency key',
  'key-invalid': 'the idempotency key was not issued by the instance that it names, or was altered',
  'key-expired': 'the idempotency key is older than its validity',
  'key-table-full': 'the issuer holds as many keys as it may',
  'key-home-unreachable': 'the instance that issued the idempotency key could not be reached or has ended',
  'key-in-doubt': 'an earlier attempt with the idempotency key has an unknown outcome',
  'shift-cap': 'the shift cap of the service keeps the request from moving',
  'link-budget': 'the link between the regions has no budget left',
  'no-capacity': 'no upstream has a free slot',
  'queue-full': 'the queue of the service is full',
  'deadline-passed': 'the deadline of the request has passed',
  'retry-budget': 'the retry budget is used up',
  'upstream-refused': 'the upstream refused the request before it ran',
  'upstream-failed': 'the connection to the upstream failed after the request was written',
  'upstream-truncated': 'the upstream ended its answer early',
  'instance-stopping': 'the entry instance is stopping',
  'client-cancelled': 'the client cancelled the request',
  'request-malformed': 'the request could not be parsed',
  'request-too-large': 'the request exceeds a size limit',
  'home-zone': 'served in the zone of origin',
  'moved-zone': 'served in another zone of the region of origin',
  'moved-region': 'served in another region',
  hedged: 'served by the second attempt of a hedged pair',
  replayed: 'the recorded answer of the first attempt with the same idempotency key'
} as const

/** Why a request was served, refused, or served in another zone. */
export type Reason = keyof typeof REASONS
