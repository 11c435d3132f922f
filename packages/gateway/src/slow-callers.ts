/**
 * Closes the connections of callers that don't read while the answers in memory exceed their limit. Without that, answers to
 * the callers that don't read would fill the memory, and those of all others could only be streamed.
 */
import type { AnswerMemory } from './answer-memory.js'

/** A connection as seen here. */
export interface ReadingCaller {
  readonly socket: { readonly bytesWritten: number, readonly writableLength: number, readonly destroy: () => unknown }
  /** Bytes of the answers that are held for it. */
  readonly heldBytes: () => number
}

export interface SlowCallersOptions {
  readonly memory: Pick<AnswerMemory, 'isFull' | 'excessBytes'>
  readonly callers: () => Iterable<ReadingCaller>
  /** Called for each connection that is closed. */
  readonly onClosed: (heldBytes: number, readBytes: number) => void
}

/** Time over which it is measured how fast a caller reads, in milliseconds. Several round trips between regions. */
const SAMPLE_MS = 1_000

interface Sample { readonly caller: ReadingCaller, readonly heldBytes: number, readonly readBytes: number }

/** Returns a function that is called periodically. */
export function createSlowCallers ({ memory, callers, onClosed }: SlowCallersOptions): (now: number) => void {
  /** Bytes that the operating system had taken for each caller at the last sample; empty while the memory suffices. */
  let taken = new Map<ReadingCaller, number>()
  let sampledAt = 0

  function sample (): readonly Sample[] {
    const samples: Sample[] = []
    const latest = new Map<ReadingCaller, number>()
    for (const caller of callers()) {
      const heldBytes = caller.heldBytes()
      if (heldBytes === 0) continue
      const { bytesWritten, writableLength } = caller.socket
      const now = bytesWritten - writableLength
      latest.set(caller, now)
      const before = taken.get(caller)
      if (before !== undefined) samples.push({ caller, heldBytes, readBytes: now - before })
    }
    taken = latest
    return samples
  }

  return now => {
    if (!memory.isFull) {
      taken.clear()
      return
    }
    if (taken.size > 0 && now < sampledAt + SAMPLE_MS) return
    sampledAt = now
    let excessBytes = memory.excessBytes()
    // A caller that has read more than is held for it is not the cause.
    for (const { caller, heldBytes, readBytes } of sample().filter(one => one.readBytes < one.heldBytes).sort((a, b) => a.readBytes - b.readBytes)) {
      if (excessBytes <= 0) return
      excessBytes -= heldBytes
      caller.socket.destroy()
      onClosed(heldBytes, readBytes)
    }
  }
}
