/** `quarantine release`. */
import type { SuspectsBody } from '../api-types.js';
import { CHANGE_OPTIONS, REVISION_OPTION } from '../client-options.js';
import type { CommandSpec } from '../command-spec.js';
import type { ControlClient } from '../control-client.js';
import { DRY_RUN_OPTION, type Preview } from '../preview.js';
import { sendChange } from './simple-change.js';

async function previewRelease(client: ControlClient, fingerprint: string): Promise<Preview> {
  const { suspects } = await client.read<SuspectsBody>('/v1/suspects');
  const suspect = suspects.find((candidate) => candidate.fingerprint === fingerprint);
  if (suspect === undefined) {
    return { before: null, after: null, revision: null };
  }
  const { service, crashes, runs, revision } = suspect;
  return { before: { service, crashes, runs }, after: null, revision };
}

export const quarantineRelease: CommandSpec = {
  name: 'quarantine release',
  arguments: '<request>',
  summary: 'Allow a request again; it is refused anew only after as many crashes as the first time',
  options: [...CHANGE_OPTIONS, REVISION_OPTION, DRY_RUN_OPTION],
  examples: ['quarantine release 0b8f6a1c2d3e4f50617283940a1b2c3d'],
  run: async (invocation) => {
    const [fingerprint = ''] = invocation.positionals;
    return sendChange(invocation, {
      what: `quarantine/${fingerprint}`,
      request: { method: 'DELETE', path: `/v1/suspects/${encodeURIComponent(fingerprint)}` },
      preview: (client) => previewRelease(client, fingerprint),
    });
  },
};
