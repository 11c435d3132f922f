/**
 * Limits the bytes of request bodies that this instance has outstanding at one upstream. An upstream crashes if the requests
 * that it holds exceed its memory, and it can't refuse a body before it has read it.
 */

export interface OutstandingBodies {
  /** Whether the upstream may get a body of this size. One without outstanding bodies may get any, so that none is refused for ever. */
  readonly mayAdd: (upstreamId: string, bodyBytes: number) => boolean
  /** Counts the body of an attempt that starts. */
  readonly add: (upstreamId: string, bodyBytes: number) => void
  /** Releases the body of an attempt that ended. */
  readonly remove: (upstreamId: string, bodyBytes: number) => void
}

/** Bytes of bodies that an upstream holds safely. */
const UPSTREAM_BODY_BYTES = 4 * 1_048_576
/** Instances that are assumed to send bodies to one upstream at a time; they do not know of each other's. */
const SENDING_INSTANCES = 12
/** Share of one instance. */
export const MAX_OUTSTANDING_BODY_BYTES = Math.floor(UPSTREAM_BODY_BYTES / SENDING_INSTANCES)

export function createOutstandingBodies (): OutstandingBodies {
  /** Only upstreams with outstanding bodies. */
  const bytes = new Map<string, number>()

  return {
    mayAdd: (upstreamId, bodyBytes) => {
      const outstanding = bytes.get(upstreamId) ?? 0
      return bodyBytes === 0 || outstanding === 0 || outstanding + bodyBytes <= MAX_OUTSTANDING_BODY_BYTES
    },
    add: (upstreamId, bodyBytes) => {
      if (bodyBytes > 0) bytes.set(upstreamId, (bytes.get(upstreamId) ?? 0) + bodyBytes)
    },
    remove: (upstreamId, bodyBytes) => {
      const rest = (bytes.get(upstreamId) ?? 0) - bodyBytes
      if (rest > 0) bytes.set(upstreamId, rest)
      else bytes.delete(upstreamId)
    }
  }
}
