/**
 * Fetches a JSON document from another instance. Uses undici's dispatch interface, which creates no stream and no abort
 * signal for each call; an instance fetches several documents a second.
 */
import type { Dispatcher } from 'undici'

export interface JsonFetch {
  /** For example `http://10.0.0.1:80`. */
  readonly origin: string
  readonly path: string
  /** Time for the whole exchange, in milliseconds. */
  readonly timeoutMs: number
  /** A longer document is rejected, in bytes. */
  readonly maxBytes: number
}

const STATUS_OK = 200

/** Rejects on any status but 200, on invalid JSON, and when the document is late or too long. */
export async function fetchJson (dispatcher: Dispatcher, { origin, path, timeoutMs, maxBytes }: JsonFetch): Promise<unknown> {
  return await new Promise((resolve, reject) => {
    const chunks: Buffer[] = []
    let size = 0
    let controller: Dispatcher.DispatchController | undefined
    let isLate = false
    const timer = setTimeout(() => {
      isLate = true
      const error = new Error(`no document within ${timeoutMs} ms`)
      controller?.abort(error)
      reject(error)
    }, timeoutMs)
    const fail = (error: Error): void => {
      clearTimeout(timer)
      reject(error)
    }
    dispatcher.dispatch({ origin, path, method: 'GET', headersTimeout: 0, bodyTimeout: 0 }, {
      onRequestStart: started => {
        controller = started
        if (isLate) started.abort(new Error('late'))
      },
      onResponseStart: (started, status) => {
        if (status !== STATUS_OK) started.abort(new Error(`status ${status}`))
      },
      onResponseData: (started, chunk) => {
        size += chunk.length
        if (size > maxBytes) started.abort(new Error(`more than ${maxBytes} bytes`))
        else chunks.push(Buffer.from(chunk))
      },
      onResponseEnd: () => {
        clearTimeout(timer)
        try {
          resolve(JSON.parse(Buffer.concat(chunks).toString()))
        } catch (error) {
          reject(error instanceof Error ? error : new Error(String(error)))
        }
      },
      onResponseError: (_started, error) => fail(error)
    })
  })
}
