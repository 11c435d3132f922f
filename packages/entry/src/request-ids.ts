/**
 * Identities of requests. Callers choose `x-request-id` and may use one twice, so the engine gets an identity of its
 * own, and two live requests never share the identity by which answers are matched.
 */

export interface RequestIds {
  /** Gives a request its identity in the engine and the `x-request-id` that upstreams receive. */
  readonly assign: (callerId: string) => { readonly requestId: string, readonly wireId: string }
  /** Ends the use of a `wireId`. */
  readonly release: (wireId: string) => void
  /** The newest request with this `x-request-id`, for operators' questions. */
  readonly find: (callerId: string) => string | undefined
}

/** Identities that are kept for operators' questions; older ones are forgotten. */
const REMEMBERED_IDS = 10_000

/** Creates the identities of one incarnation. */
export function createRequestIds (): RequestIds {
  const live = new Set<string>()
  // A ring that is searched only when an operator asks: an index would cost every request.
  const callerIds: string[] = []
  const requestIds: string[] = []
  let count = 0

  return {
    assign: callerId => {
      count += 1
      const requestId = `r${count}`
      const wireId = live.has(callerId) ? `${callerId}.${requestId}` : callerId
      live.add(wireId)
      callerIds[count % REMEMBERED_IDS] = callerId
      requestIds[count % REMEMBERED_IDS] = requestId
      return { requestId, wireId }
    },
    release: wireId => { live.delete(wireId) },
    find: callerId => {
      for (let back = 0; back < Math.min(count, REMEMBERED_IDS); back += 1) {
        const slot = (count - back) % REMEMBERED_IDS
        if (callerIds[slot] === callerId) return requestIds[slot]
      }
      return undefined
    }
  }
}
