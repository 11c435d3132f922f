/**
 * Names and formats that callers and upstreams use on the wire: headers, paths and the load report. The gateway refers to
 * them only through this interface; the program that starts it supplies the actual names.
 */
import type { LoadReport } from '@arbutustray/steering'

/** Header names in lower case. */
export interface HeaderNames {
  /** Request id that the caller sends and upstreams echo. */
  readonly requestId: string
  /** Remaining time until the caller's deadline, in whole milliseconds. */
  readonly deadline: string
  /** Key of the object that the request concerns. */
  readonly objectKey: string
  /** Name of the team that sent the request; set by the gateway in a deployment with teams. */
  readonly team: string
  /** Id of the upstream that the request is meant for. */
  readonly expectedUpstream: string
  /** Id of the upstream that answered a health probe. */
  readonly answeringUpstream: string
  /** Remaining cold time of the upstream, in milliseconds. */
  readonly coldTime: string
  /** Load report of the upstream. */
  readonly load: string
  /** Requests per second that the upstream takes from all instances together, as a decimal number. */
  readonly requestLimit: string
  /** Present with the value 1 if the upstream is about to end. */
  readonly leaving: string
  /** Present if the upstream states that it did not run the request. */
  readonly notRun: string
  /** Marker header: present, with any value, on each answer that an upstream itself produced for a request. */
  readonly signature: string
}

export interface Dialect {
  readonly headers: HeaderNames
  /** Status with which a process states that it is not the expected upstream. */
  readonly misdirectedStatus: number
  /** Path of the readiness check. */
  readonly readyPath: string
  /** Path of the directory lookup. */
  readonly directoryPath: string
  /** Query parameters of a directory lookup. */
  readonly directoryQuery: { readonly zone: string, readonly region: string }
  /** Creates the response body of a directory lookup. */
  readonly directoryBody: (addresses: readonly string[], ttlMs: number) => unknown
  /** Parses a load header; `undefined` if it is malformed. */
  readonly parseLoad: (text: string) => LoadReport | undefined
}
