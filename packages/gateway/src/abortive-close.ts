/**
 * Makes the operating system reset a connection when it is closed, also by the end of the process, instead of ending it
 * regularly. Node has no setting for that (`SO_LINGER` with a time of zero), so it is made through the C library.
 */
import type koffi from 'koffi'
import type { Socket } from 'node:net'
import { createRequire } from 'node:module'

type SetSocketOption = (descriptor: number, level: number, option: number, value: Buffer, length: number) => number

/** Values of Linux on x86-64 and arm64. */
const SOL_SOCKET = 1
const SO_LINGER = 13
const SUPPORTED_ARCHITECTURES: ReadonlySet<string> = new Set(['x64', 'arm64'])

/** Content of a `struct linger`: whether the option is on, and a time of zero. */
function lingerValue (isOn: boolean): Buffer {
  return Buffer.from(Int32Array.of(Number(isOn), 0).buffer)
}

let setSocketOption: SetSocketOption | undefined | 'not loaded' = 'not loaded'

/** Loads the C library's function at the first use, since few answers need it. */
function loadSetSocketOption (): SetSocketOption | undefined {
  if (process.platform !== 'linux' || !SUPPORTED_ARCHITECTURES.has(process.arch)) return undefined
  try {
    const library = createRequire(import.meta.filename)('koffi') as typeof koffi
    return library.load(null).func('int setsockopt(int, int, int, const void*, unsigned int)') as unknown as SetSocketOption
  } catch {
    // The caller of `setAbortiveClose` learns that the option could not be set.
    return undefined
  }
}

/** Sets whether closing the connection resets it. Returns false if that is not possible. */
export function setAbortiveClose (socket: Socket, isAbortive: boolean): boolean {
  const descriptor = (socket as Socket & { readonly _handle?: { readonly fd?: number } | null })._handle?.fd
  if (descriptor === undefined || descriptor < 0) return false
  if (setSocketOption === 'not loaded') setSocketOption = loadSetSocketOption()
  const value = lingerValue(isAbortive)
  return setSocketOption?.(descriptor, SOL_SOCKET, SO_LINGER, value, value.length) === 0
}
