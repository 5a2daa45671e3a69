/** Membership changes of the control cluster, which may take longer than the timeout of one request. */
import { randomUUID } from 'node:crypto';
import type { MembershipBody } from './api-types.js';
import { UnknownOutcomeError, UnreachableError } from './cli-error.js';
import type { Invocation, OptionSpec } from './command-spec.js';
import type { ControlClient } from './control-client.js';

const POLL_MILLIS = 500;
const DEFAULT_REPAIR_MILLIS = 600_000;

export const REPAIR_TIMEOUT_OPTION: OptionSpec = {
  name: 'repair-timeout',
  value: 'duration',
  summary: 'Longest wait; default 10m',
};

/** A membership change to send. */
export interface MemberChange {
  readonly path: string;
  readonly body: unknown;
}

/** Sends the change once. Returns `undefined` if the outcome is unknown, e.g. while a replica catches up slowly. */
export async function sendOnce(
  client: ControlClient,
  change: MemberChange,
  requestId: string = randomUUID(),
): Promise<MembershipBody | undefined> {
  try {
    return (await client.change<MembershipBody>({ method: 'POST', ...change, requestId })).body;
  } catch (thrown) {
    if (thrown instanceof UnknownOutcomeError || thrown instanceof UnreachableError) {
      return undefined;
    }
    throw thrown;
  }
}

/**
 * Sends the change until it is complete: a new leader doesn't continue it, and a repeated request joins one in progress.
 * Returns `undefined` if it isn't complete within `--repair-timeout`.
 */
export async function sendUntilComplete(
  { options, io }: Invocation,
  client: ControlClient,
  change: MemberChange,
): Promise<MembershipBody | undefined> {
  const requestId = options.text('request-id') ?? randomUUID();
  const deadline = performance.now() + (options.duration('repair-timeout') ?? DEFAULT_REPAIR_MILLIS);
  while (!io.stopSignal.aborted) {
    const answer = await sendOnce(client, change, requestId);
    if (answer?.repaired) {
      return answer;
    }
    if (performance.now() >= deadline) {
      break;
    }
    await io.sleep(POLL_MILLIS);
  }
  return undefined;
}
