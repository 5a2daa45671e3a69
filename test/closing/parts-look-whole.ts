/** Sabotage, loaded before a router: answers have no length and end with their connection. */
import { ServerResponse } from 'node:http';

const { writeHead } = ServerResponse.prototype;

ServerResponse.prototype.writeHead = function writeUnframed(
  this: ServerResponse,
  status: number,
  ...rest: never[]
) {
  this.useChunkedEncodingByDefault = false;
  this.shouldKeepAlive = false;
  const given = rest.at(-1) as unknown;
  const headers = Array.isArray(given) ? given.filter((_, index, all) => !isLength(all, index)) : given;
  this.removeHeader('content-length');
  return writeHead.call(this, status, headers as never);
} as typeof writeHead;

/** Whether `index` is the name or the value of a length. */
function isLength(lines: readonly unknown[], index: number): boolean {
  return String(lines[index - (index % 2)]).toLowerCase() === 'content-length';
}
