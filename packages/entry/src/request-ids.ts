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
  const newest = new Map<string, string>()
  let count = 0

  function remember (callerId: string, requestId: string): void {
    newest.delete(callerId)
    newest.set(callerId, requestId)
    if (newest.size <= REMEMBERED_IDS) return
    const oldest = newest.keys().next()
    if (oldest.done !== true) newest.delete(oldest.value)
  }

  return {
    assign: callerId => {
      count += 1
      const requestId = `r${count}`
      const wireId = live.has(callerId) ? `${callerId}.${requestId}` : callerId
      live.add(wireId)
      remember(callerId, requestId)
      return { requestId, wireId }
    },
    release: wireId => { live.delete(wireId) },
    find: callerId => newest.get(callerId)
  }
}
