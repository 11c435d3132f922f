/**
 * Why a call to the platform failed, and for writes whether the call may have taken effect.
 */
export type PlatformError =
  /** The call did not take effect. */
  | { readonly type: 'unavailable', readonly reason: string }
  /** The object's version is not the expected one. */
  | { readonly type: 'conflict', readonly currentVersion: number }
  /** The write was sent but no reply was read, so it may have taken effect. */
  | { readonly type: 'reply-lost', readonly reason: string }
  | { readonly type: 'not-found' }
  /** The request or the reply does not conform to the platform's API. */
  | { readonly type: 'malformed', readonly reason: string }

/** Formats an error as one line for logs. */
export function formatPlatformError (error: PlatformError): string {
  if (error.type === 'not-found') return 'not-found'
  return `${error.type}: ${error.type === 'conflict' ? `current version ${error.currentVersion}` : error.reason}`
}
