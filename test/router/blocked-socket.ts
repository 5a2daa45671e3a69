/** A socket whose writes wait until a test ends them, so that it decides in which order a connection reports its data, errors and end. */
import { Duplex } from 'node:stream';

type WriteCallback = (error?: Error | null) => void;

export class BlockedSocket extends Duplex {
  #pending: WriteCallback | null = null;

  constructor() {
    super({ allowHalfOpen: true });
  }

  /** Whether bytes wait to be written. */
  get isBlocked(): boolean {
    return this.#pending !== null;
  }

  receive(bytes: Uint8Array): void {
    this.push(bytes);
  }

  receiveEnd(): void {
    this.push(null);
  }

  /** Fails the pending write as the system does, by the code of its error. */
  failWrite(code: string): void {
    this.#endWrite(Object.assign(new Error(`write ${code}`), { code, syscall: 'write' }));
  }

  /** The system takes the pending bytes. */
  completeWrite(): void {
    this.#endWrite(null);
  }

  override _read(): void {}

  override _write(_chunk: Buffer, _encoding: BufferEncoding, done: WriteCallback): void {
    this.#pending = done;
  }

  resetAndDestroy(): void {
    this.destroy();
  }

  ref(): void {}

  unref(): void {}

  #endWrite(error: Error | null): void {
    const done = this.#pending;
    this.#pending = null;
    done?.(error);
  }
}
