/**
 * Counts the bytes of the answers that are held in memory, so that many answers together can't exceed the process's memory.
 */

export interface AnswerMemory {
  /** Whether further answers must be streamed instead of buffered. */
  readonly isFull: boolean
  /** Bytes to release so that answers can be buffered for a while. */
  readonly excessBytes: () => number
  /** Counts bytes; negative when they are released. */
  readonly add: (bytes: number) => void
}

const BYTES_PER_MIB = 1_048_576
/** Maximum size of the bodies of all buffered answers, in bytes. */
export const MAX_BUFFERED_ANSWER_BYTES = 64 * BYTES_PER_MIB
/** Part of the process's memory that they may take: about the maximum in a process of 250 MB. */
const ANSWER_MEMORY_SHARE = 1 / 4
/** Part of the maximum down to which memory is released when it is full. */
const RELEASE_TO_SHARE = 0.75

/** `memoryMb`: memory that the process may use, in MiB, if it is stated. */
export function createAnswerMemory (memoryMb?: number): AnswerMemory {
  const maxBytes = Math.min(MAX_BUFFERED_ANSWER_BYTES, (memoryMb ?? Infinity) * BYTES_PER_MIB * ANSWER_MEMORY_SHARE)
  let held = 0
  return {
    get isFull () {
      return held > maxBytes
    },
    excessBytes: () => held - RELEASE_TO_SHARE * maxBytes,
    add: bytes => { held += bytes }
  }
}
