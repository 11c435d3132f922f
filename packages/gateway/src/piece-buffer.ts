/**
 * Collects the pieces in which a body arrives. Small pieces are copied into common blocks: a buffer takes more than a
 * hundred bytes of heap besides its content, so a body in pieces of a few bytes would need many times its size.
 */

/** Size up to which blocks grow, in bytes. */
const MAX_BLOCK_BYTES = 16_384

export class PieceBuffer {
  #blocks: Buffer[] = []
  /** Bytes of the last block that hold content. */
  #used = 0
  #bytes = 0

  /** Size of the content in bytes. */
  get bytes (): number {
    return this.#bytes
  }

  /** Appends a copy of the piece. */
  push (piece: Uint8Array): void {
    this.#bytes += piece.length
    const copied = this.#fillLastBlock(piece)
    if (copied < piece.length) this.#addBlock(piece.subarray(copied))
  }

  /** Removes the content and returns it, in blocks. */
  take (): readonly Buffer[] {
    const blocks = this.#blocks
    if (blocks.length > 0) blocks.push(blocks.pop()!.subarray(0, this.#used))
    this.#blocks = []
    this.#used = 0
    this.#bytes = 0
    return blocks
  }

  /** Copies as much of the piece as fits and returns its size. */
  #fillLastBlock (piece: Uint8Array): number {
    const last = this.#blocks.at(-1)
    if (last === undefined) return 0
    const size = Math.min(piece.length, last.length - this.#used)
    last.set(piece.subarray(0, size), this.#used)
    this.#used += size
    return size
  }

  #addBlock (piece: Uint8Array): void {
    // The first block has the size of its piece, since most bodies arrive in one.
    const last = this.#blocks.at(-1)
    const block = Buffer.allocUnsafeSlow(Math.max(piece.length, last === undefined ? 0 : Math.min(MAX_BLOCK_BYTES, 2 * last.length)))
    block.set(piece)
    this.#blocks.push(block)
    this.#used = piece.length
  }
}
