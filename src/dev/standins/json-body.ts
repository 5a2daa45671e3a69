/** Reads small JSON bodies of control endpoints. */
import type { IncomingMessage } from 'node:http';
import { json } from 'node:stream/consumers';

/** The body as JSON; throws a `SyntaxError` if it isn't. */
export async function readJsonBody(request: IncomingMessage): Promise<unknown> {
  return json(request);
}
