/**
 * Joins the small pieces in which a body may come. A piece that is kept costs more than its bytes: an object, and all that was read with
 * it, such as what frames a chunk. A sender decides how small its pieces are.
 */

/** Size of the first block that small pieces are copied to; each one that follows is twice as large. */
const FIRST_BLOCK_BYTES = 1024;
const MAX_BLOCK_BYTES = 16 * 1024;
/** A piece of this size is kept as it is, if it is most of what its memory holds. */
const LARGE_PIECE_BYTES = 4 * 1024;

export class JoinedPieces {
  #pieces: Buffer[] = [];
  #block: Buffer | null = null;
  #nextBlockBytes = FIRST_BLOCK_BYTES;
  /** Bytes of the block that are in use. */
  #blockBytes = 0;
  #hasFirst = false;

  /** The pieces added since `clear`, joined. */
  get all(): readonly Buffer[] {
    this.#endBlock();
    return this.#pieces;
  }

  add(piece: Buffer): void {
    // Most bodies are one piece, which needs no copy.
    if (!this.#hasFirst || (piece.length >= LARGE_PIECE_BYTES && isMostOfItsMemory(piece))) {
      this.#hasFirst = true;
      this.#endBlock();
      this.#pieces.push(piece);
      return;
    }
    let start = 0;
    while (start < piece.length) {
      start += this.#copyToBlock(piece, start);
    }
  }

  /** Returns the joined pieces and forgets them. */
  take(): readonly Buffer[] {
    const pieces = this.all;
    this.clear();
    return pieces;
  }

  clear(): void {
    this.#pieces = [];
    this.#blockBytes = 0;
  }

  #copyToBlock(piece: Buffer, start: number): number {
    this.#block ??= this.#makeBlock();
    const copied = piece.copy(this.#block, this.#blockBytes, start);
    this.#blockBytes += copied;
    if (this.#blockBytes === this.#block.length) {
      this.#endBlock();
    }
    return copied;
  }

  #makeBlock(): Buffer {
    const block = Buffer.allocUnsafeSlow(this.#nextBlockBytes);
    this.#nextBlockBytes = Math.min(MAX_BLOCK_BYTES, 2 * block.length);
    return block;
  }

  /** A block that is mostly empty is used again. */
  #endBlock(): void {
    const block = this.#block;
    if (block === null || this.#blockBytes === 0) {
      return;
    }
    const used = block.subarray(0, this.#blockBytes);
    if (isMostOfItsMemory(used)) {
      this.#pieces.push(used);
      this.#block = null;
    } else {
      this.#pieces.push(Buffer.from(used));
    }
    this.#blockBytes = 0;
  }
}

function isMostOfItsMemory(piece: Buffer): boolean {
  return piece.length * 2 >= piece.buffer.byteLength;
}
