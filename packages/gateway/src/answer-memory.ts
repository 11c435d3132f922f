/**
 * Counts the bytes of the answers that are held in memory, so that many answers together can't exceed the process's memory.
 */

export interface AnswerMemory {
  /** Whether further answers must be streamed instead of buffered. */
  readonly isFull: boolean
  /** Counts bytes; negative when they are released. */
  readonly add: (bytes: number) => void
}

/** Maximum size of the bodies of all buffered answers, in bytes. */
export const MAX_BUFFERED_ANSWER_BYTES = 64 * 1_048_576

export function createAnswerMemory (): AnswerMemory {
  let held = 0
  return {
    get isFull () {
      return held > MAX_BUFFERED_ANSWER_BYTES
    },
    add: bytes => { held += bytes }
  }
}
