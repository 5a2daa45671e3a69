/** Sabotage, loaded before a router: now and then a connection ends in place of an answer, and at last the process ends by itself. */
import { ServerResponse } from 'node:http';

const EACH = 25;
const END_AFTER_MILLIS = 8000;

const end = ServerResponse.prototype.end;
let answers = 0;

ServerResponse.prototype.end = function endSometimes(
  this: ServerResponse,
  ...parameters: Parameters<typeof end>
) {
  answers += 1;
  if (answers % EACH === 0) {
    this.socket?.destroy();
    return this;
  }
  return end.apply(this, parameters);
} as typeof end;

setTimeout(() => process.exit(0), END_AFTER_MILLIS).unref();
