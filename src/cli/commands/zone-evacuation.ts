/** `zone evacuate` and `zone restore`. Both are idempotent, so they need no request id. */
import type { EvacuationBody, EvacuationsBody } from '../api-types.js';
import { CLIENT_OPTIONS, createClient } from '../client-options.js';
import type { CommandSpec, Invocation } from '../command-spec.js';
import type { ChangeRequest } from '../control-client.js';
import { EXIT_CODES, type ExitCode } from '../exit-codes.js';
import { DRY_RUN_OPTION, writePreview } from '../preview.js';

const OPTIONS = [...CLIENT_OPTIONS, DRY_RUN_OPTION];

async function setEvacuation(invocation: Invocation, method: ChangeRequest['method']): Promise<ExitCode> {
  const { options, io, positionals } = invocation;
  const [zone = ''] = positionals;
  const client = createClient(options, io);
  if (options.on('dry-run')) {
    const { evacuations } = await client.read<EvacuationsBody>('/v1/evacuations');
    const before = { isEvacuated: evacuations.some((evacuation) => evacuation.zone === zone) };
    writePreview(io, `zone/${zone}`, { before, after: { isEvacuated: method === 'PUT' }, revision: null });
    return EXIT_CODES.ok;
  }
  const path = `/v1/evacuations/${encodeURIComponent(zone)}`;
  const { body } = await client.change<EvacuationBody>({ method, path });
  const state = body.isEvacuated ? 'evacuated' : 'in use';
  io.write(`zone/${zone}: ${state}, revision ${body.revision}\n`);
  return EXIT_CODES.ok;
}

export const zoneEvacuate: CommandSpec = {
  name: 'zone evacuate',
  arguments: '<zone>',
  summary: 'Send nothing new to the upstreams of a zone and move their keys away; requests in flight finish',
  options: OPTIONS,
  examples: ['zone evacuate zone-b'],
  run: (invocation) => setEvacuation(invocation, 'PUT'),
};

export const zoneRestore: CommandSpec = {
  name: 'zone restore',
  arguments: '<zone>',
  summary: 'Use the upstreams of an evacuated zone again',
  options: OPTIONS,
  examples: ['zone restore zone-b'],
  run: (invocation) => setEvacuation(invocation, 'DELETE'),
};
