/**
 * Reads what an upstream says of itself in the headers of an answer.
 */
import type { UpstreamStatements } from '@arbutustray/steering'
import type { Dialect } from './dialect.js'
import { firstValue } from '@arbutustray/http'
import { parseDecimal } from './message-headers.js'

type Headers = Readonly<Record<string, string | string[] | undefined>>

/** Status with which an upstream may ask for a pause. */
const PAUSING_STATUS = 503
const RETRY_AFTER = 'retry-after'
const LEAVING = '1'
const MS_PER_SECOND = 1_000

/** Reads the statements of an answer. One that can't be read counts as absent. */
export function parseStatements (status: number, headers: Headers, dialect: Dialect): UpstreamStatements {
  const names = dialect.headers
  const loadText = firstValue(headers[names.load])
  const load = loadText === undefined ? undefined : dialect.parseLoad(loadText)
  const requestLimit = parseDecimal(firstValue(headers[names.requestLimit]))
  const pauseSeconds = status === PAUSING_STATUS ? parseDecimal(firstValue(headers[RETRY_AFTER])) : undefined
  return {
    isLeaving: firstValue(headers[names.leaving])?.trim() === LEAVING,
    ...(load === undefined ? {} : { load }),
    ...(requestLimit === undefined ? {} : { requestLimit }),
    ...(pauseSeconds === undefined ? {} : { pauseMs: pauseSeconds * MS_PER_SECOND })
  }
}
