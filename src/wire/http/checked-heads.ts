/** Ends connections whose responses have a malformed head, before an HTTP client that takes such heads reads them. */
import type { Socket } from 'node:net';
import { TernmountError } from '../../errors/ternmount-error.js';
import { HeadFormat } from './head-format.js';

/** The head of a response is malformed. */
export class MalformedResponseError extends TernmountError {
  constructor() {
    super(
      { code: 'TERNMOUNT_WIRE_MALFORMED_RESPONSE', retriable: true },
      'the head of a response is malformed',
    );
  }
}

/** Checks the head of each response on the connection of a client that writes one request at a time, each whole at once. */
export function checkHeads(socket: Socket): void {
  const format = new HeadFormat();
  let checkedBytesWritten = 0;
  // Unlike `on`, this leaves it to the client when the socket is read.
  socket.prependListener('data', (bytes: Buffer) => {
    if (socket.bytesWritten !== checkedBytesWritten) {
      checkedBytesWritten = socket.bytesWritten;
      format.expectHead();
    }
    if (!format.read(bytes)) {
      socket.destroy(new MalformedResponseError());
    }
  });
}
