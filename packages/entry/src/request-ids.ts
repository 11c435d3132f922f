/**
 * Identities of requests. Callers choose `x-request-id` and may use one twice, so the engine gets an identity of its
 * own, and two live requests never share the identity by which answers are matched.
 */

export interface RequestIds {
  /** Gives a request its identity in the engine and the `x-request-id` that upstreams receive. */
  readonly assign: (callerRequestId: string) => { readonly requestId: string, readonly forwardedRequestId: string }
  /** Ends the use of a `wireId`. */
  readonly release: (forwardedRequestId: string) => void
  /** The newest request with this `x-request-id`, for operators' questions. */
  readonly findNewest: (callerRequestId: string) => string | undefined
}

/** Identities that are kept for operators' questions; older ones are forgotten. */
const MAX_REMEMBERED_REQUESTS = 10_000

/** Creates the identities of one incarnation. */
export function createRequestIds (): RequestIds {
  const liveForwardedIds = new Set<string>()
  // A ring that is searched only when an operator asks: an index would cost every request.
  const callerRequestIds: string[] = []
  const requestIds: string[] = []
  let assignedCount = 0

  return {
    assign: callerRequestId => {
      assignedCount += 1
      const requestId = `r${assignedCount}`
      const forwardedRequestId = liveForwardedIds.has(callerRequestId) ? `${callerRequestId}.${requestId}` : callerRequestId
      liveForwardedIds.add(forwardedRequestId)
      callerRequestIds[assignedCount % MAX_REMEMBERED_REQUESTS] = callerRequestId
      requestIds[assignedCount % MAX_REMEMBERED_REQUESTS] = requestId
      return { requestId, forwardedRequestId }
    },
    release: forwardedRequestId => { liveForwardedIds.delete(forwardedRequestId) },
    findNewest: callerRequestId => {
      for (let offset = 0; offset < Math.min(assignedCount, MAX_REMEMBERED_REQUESTS); offset += 1) {
        const index = (assignedCount - offset) % MAX_REMEMBERED_REQUESTS
        if (callerRequestIds[index] === callerRequestId) return requestIds[index]
      }
      return undefined
    }
  }
}
