/** Reads small JSON bodies of control endpoints. */
import type { IncomingMessage } from 'node:http';
import { json } from 'node:stream/consumers';

/** Returns the parsed body; throws a `SyntaxError` if it isn't JSON. */
export async function readJsonBody(request: IncomingMessage): Promise<unknown> {
  return json(request);
}
