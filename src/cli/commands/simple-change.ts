/** Sends one change of the operators' API and reports it. */
import type { ChangeBody } from '../api-types.js';
import { createClient, waitQuery } from '../client-options.js';
import type { Invocation } from '../command-spec.js';
import type { ChangeRequest } from '../control-client.js';
import type { ExitCode } from '../exit-codes.js';
import { reportChange } from '../report-change.js';

/** Sends a change with the command's `--request-id`, `--revision` and `--wait`. */
export async function sendChange(
  invocation: Invocation,
  what: string,
  request: ChangeRequest,
): Promise<ExitCode> {
  const { options, io } = invocation;
  const { body } = await createClient(options, io).change<ChangeBody>({
    requestId: options.text('request-id'),
    expected: options.count('revision') ?? null,
    ...request,
    path: request.path + waitQuery(options),
  });
  return reportChange(invocation, what, body);
}
