/**
 * Assigns the ids of requests. Callers choose `x-request-id` and may use a value twice. So each request gets an id of
 * its own for the engine, and the id by which answers are matched is unique among live requests.
 */

export interface RequestIds {
  /** Assigns the id within the engine and the `x-request-id` sent to upstreams and peers. */
  readonly assign: (callerRequestId: string) => { readonly requestId: string, readonly forwardedRequestId: string }
  /** Makes a `forwardedRequestId` available again. */
  readonly release: (forwardedRequestId: string) => void
  /** Finds the newest request with this `x-request-id`, for `GET /v1/explain`. */
  readonly findNewest: (callerRequestId: string) => string | undefined
}

/** Number of requests that `findNewest` covers. */
const MAX_REMEMBERED_REQUESTS = 10_000

/** Creates the request ids of one run of the process. */
export function createRequestIds (): RequestIds {
  const liveForwardedIds = new Set<string>()
  // Ring buffers with linear search: look-ups are rare, and an index would add work to each request.
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
