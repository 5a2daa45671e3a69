/** `platform/` holds names and formats alone, and the sources don't know them. */
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { join, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';
import { expect } from 'chai';
import { parse } from 'yaml';
import { controlSettingsSchema } from '../../src/settings/control-settings.js';
import { routerSettingsSchema } from '../../src/settings/router-settings.js';

const ROOT = resolve(fileURLToPath(new URL('../../..', import.meta.url)));
/** Names that only the users' platform uses. */
const PLATFORM_NAMES =
  /Request-Deadline-Ms|Target-Instance|Server-Load|Not-Executed|Response-Seal|Shard-Key|Instance-Id|seed_nodes|machine_class|TERNMOUNT_NODE_FILE|path_prefix|traffic_split|heartbeat_url|from_rev|config_version|from '(?:\.\.\/)+platform\//i;
/** A gap of a template: `{{name}}`, `{{name|json}}`. */
const GAP = /\{\{([^}|]+)(\|json)?\}\}/g;
const EXAMPLE: Readonly<Record<string, string>> = {
  node_name: 'edge-a-1',
  zone: 'zone-a',
  ip: '10.1.0.4',
  'listen.frontend': '10.1.0.4:8548',
  'listen.readiness': '10.1.0.4:8542',
  'listen.control_plane': '10.1.0.4:8544',
  seed_nodes: '["10.1.0.4:8544","10.2.0.4:8544"]',
  'internal_port_range.0': '7540',
  data_dir: '/data/control',
  bootstrap: 'true',
  heartbeat_ms: '1300',
  'fault_tolerance.machines': '1',
  'bounds.max_hold_ms': '10000',
};

function rendered(name: string): unknown {
  const text = readFileSync(join(ROOT, 'platform', name), 'utf8');
  return parse(
    text.replace(GAP, (_gap, field: string) => {
      expect(EXAMPLE, `${name}: ${field}`).to.have.property(field);
      return EXAMPLE[field] ?? '';
    }),
  );
}

describe('the users’ platform', () => {
  it('is named nowhere in the sources', () => {
    const files = readdirSync(join(ROOT, 'src'), { recursive: true, encoding: 'utf8' });
    const found = files
      .filter((file) => file.endsWith('.ts'))
      .filter((file) => PLATFORM_NAMES.test(readFileSync(join(ROOT, 'src', file), 'utf8')));
    expect(found).to.deep.equal([]);
  });

  it('has a folder of templates and nothing that runs', () => {
    const files = readdirSync(join(ROOT, 'platform'));
    expect(files.filter((file) => !file.endsWith('.yaml'))).to.deep.equal([]);
  });

  it('gets settings that both daemons take', () => {
    const router = routerSettingsSchema.parse(rendered('router.yaml'));
    expect(router.control).to.deep.equal(['10.1.0.4:7540', '10.2.0.4:7540']);
    expect(router.headers.deadline).to.equal('request-deadline-ms');
    const control = controlSettingsSchema.parse(rendered('control.yaml'));
    expect(control.selfStart?.seeds).to.deep.equal(['10.1.0.4:7540', '10.2.0.4:7540']);
    expect(control.ranges.holdMillis).to.equal(10_000);
  });

  it('names files in its deploy file that there are', () => {
    const deploy = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
    for (const [, path = ''] of deploy.matchAll(/(?:template = "|node )((?:platform|scripts)\/[^" ]+)/g)) {
      expect(existsSync(join(ROOT, path)), path).to.equal(true);
    }
  });
});
