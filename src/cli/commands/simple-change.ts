/** Sends one change of the operators' API and reports it. */
import type { ChangeBody } from '../api-types.js';
import { createClient, waitQuery } from '../client-options.js';
import type { Invocation } from '../command-spec.js';
import type { ChangeRequest, ControlClient } from '../control-client.js';
import { EXIT_CODES, type ExitCode } from '../exit-codes.js';
import { type Preview, writePreview } from '../preview.js';
import { reportChange } from '../report-change.js';

/** A change that a command sends. */
export interface SimpleChange {
  /** E.g. `service/menu`. */
  readonly what: string;
  readonly request: ChangeRequest;
  /** Computes the effect of the change, for `--dry-run`. */
  readonly preview: (client: ControlClient) => Promise<Preview>;
}

/** Sends a change with the command's `--request-id`, `--revision` and `--wait`, or shows it with `--dry-run`. */
export async function sendChange(invocation: Invocation, change: SimpleChange): Promise<ExitCode> {
  const { options, io } = invocation;
  const { what, request, preview } = change;
  const client = createClient(options, io);
  if (options.on('dry-run')) {
    writePreview(io, what, await preview(client));
    return EXIT_CODES.ok;
  }
  const { body } = await client.change<ChangeBody>({
    requestId: options.text('request-id'),
    expected: options.count('revision') ?? null,
    ...request,
    path: request.path + waitQuery(options),
  });
  return reportChange(invocation, what, body);
}
