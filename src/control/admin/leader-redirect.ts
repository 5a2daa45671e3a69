/** Redirects a client to the leader, since all members serve the same API on the same port. */
import { parseAddress } from '../../wire/address.js';
import type { OperatorResponse } from '../types.js';
import type { AdminContext } from './admin-context.js';

const TEMPORARY_REDIRECT = 307;

/** Responds with a redirect if another member is known to be the leader; returns `false` otherwise. */
export function redirectToLeader(context: AdminContext, response: OperatorResponse): boolean {
  if (response.type !== 'not-leader' || response.leader === null) {
    return false;
  }
  const { host } = parseAddress(response.leader);
  const port = context.req.socket.localPort ?? 0;
  context.state.redirectedTo = `${host}:${port}`;
  context.status = TEMPORARY_REDIRECT;
  context.set('Location', `http://${host}:${port}${context.url}`);
  context.body = { error: { code: 'not-leader', message: `the leader is at ${host}:${port}` } };
  return true;
}
