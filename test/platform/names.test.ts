/** `platform/` holds only names and formats of the users' platform, and the sources contain none of them. */
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { join, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';
import { expect } from 'chai';
import { parse } from 'yaml';
import { DEFAULT_WARMUP_BOUNDS } from '../../src/model/warmup-bounds.js';
import { controlSettingsSchema } from '../../src/settings/control-settings.js';
import { routerSettingsSchema } from '../../src/settings/router-settings.js';

const ROOT = resolve(fileURLToPath(new URL('../../..', import.meta.url)));
/** Names used only by the users' platform. */
const PLATFORM_NAMES =
  /Request-Deadline-Ms|Target-Instance|Server-Load|Not-Executed|Response-Seal|Shard-Key|Instance-Id|seed_nodes|machine_class|TERNMOUNT_NODE_FILE|path_prefix|traffic_split|heartbeat_url|from_rev|config_version|from '(?:\.\.\/)+platform\//i;
/**
 * A placeholder of a template: `{{name}}` or `{{name|json}}`; in sections also the entry's name `{{@}}` and `{{,}}`, a
 * comma except after the last entry.
 */
const PLACEHOLDER = /\{\{([^}|#^/]+)(\|json)?\}\}/g;
/** A section, rendered once for each entry of a table, or once if the field is present. */
const SECTION = /\{\{#([\w.]+)\}\}(.*?)\{\{\/\1\}\}/gs;

type Fields = Readonly<Record<string, unknown>>;

const EXAMPLE: Fields = {
  node_name: 'edge-a-1',
  zone: 'zone-a',
  zones: { 'zone-a': 'region', 'zone-b': 'region' },
  ip: '10.1.0.4',
  listen: { frontend: '10.1.0.4:8548', readiness: '10.1.0.4:8542', control_plane: '10.1.0.4:8544' },
  seed_nodes: ['10.1.0.4:8544', '10.2.0.4:8544'],
  internal_port_range: [7540, 7555],
  data_dir: '/data/control',
  bootstrap: true,
  heartbeat_ms: 1300,
  fault_tolerance: { machines: 1 },
  bounds: { max_hold_ms: 10_000 },
};
/** With bounds for upstreams that warm up. */
const WARMUP_EXAMPLE: Fields = {
  ...EXAMPLE,
  bounds: { max_hold_ms: 10_000, warmup_overrun: 1.5, warmup_margin: 8 },
};

function fieldAt(fields: Fields, path: string): unknown {
  return path.split('.').reduce<unknown>((value, name) => (value as Fields | undefined)?.[name], fields);
}

function withSections(text: string, fields: Fields): string {
  return text.replace(SECTION, (_section, path: string, inner: string) => {
    const value = fieldAt(fields, path);
    if (typeof value !== 'object' || value === null) {
      return value === undefined ? '' : inner;
    }
    const names = Object.keys(value);
    return names
      .map((name, index) =>
        inner.replaceAll('{{@}}', name).replaceAll('{{,}}', index < names.length - 1 ? ',' : ''),
      )
      .join('');
  });
}

function rendered(name: string, fields = EXAMPLE): unknown {
  const text = readFileSync(join(ROOT, 'platform', name), 'utf8');
  return parse(
    withSections(text, fields).replace(PLACEHOLDER, (_placeholder, path: string, isJson?: string) => {
      const value = fieldAt(fields, path);
      expect(value, `${name}: ${path}`).to.not.equal(undefined);
      return isJson === undefined ? String(value) : JSON.stringify(value);
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

  it('has a folder with only templates and no programs', () => {
    const files = readdirSync(join(ROOT, 'platform'));
    expect(files.filter((file) => !file.endsWith('.yaml'))).to.deep.equal([]);
  });

  it('gets settings that both daemons accept', () => {
    const router = routerSettingsSchema.parse(rendered('router.yaml'));
    expect(router.control).to.deep.equal(['10.1.0.4:7540', '10.2.0.4:7540']);
    expect(router.relay).to.equal('10.1.0.4:7555');
    expect(router.regions).to.deep.equal({ 'zone-a': 'region', 'zone-b': 'region' });
    expect(router.headers.deadline).to.equal('request-deadline-ms');
    const control = controlSettingsSchema.parse(rendered('control.yaml'));
    expect(control.selfStart?.seeds).to.deep.equal(['10.1.0.4:7540', '10.2.0.4:7540']);
    expect(control.ranges.holdMillis).to.equal(10_000);
    expect(control.zones).to.deep.equal(['zone-a', 'zone-b']);
  });

  it('announces the end of each settings file, so that no part is taken for the whole', () => {
    for (const name of ['router.yaml', 'control.yaml']) {
      const lines = readFileSync(join(ROOT, 'platform', name), 'utf8')
        .trimEnd()
        .split('\n');
      expect(lines[0], name).to.equal(`# ends with: ${lines.at(-1)}`);
    }
  });

  it('passes the warm-up bounds to routers if it has any', () => {
    const settings = routerSettingsSchema.parse(rendered('router.yaml', WARMUP_EXAMPLE));
    expect(settings.warmup).to.deep.equal({ overrunFactor: 1.5, marginRequests: 8 });
    expect(routerSettingsSchema.parse(rendered('router.yaml')).warmup).to.deep.equal(DEFAULT_WARMUP_BOUNDS);
  });

  it('refers only to existing files in its deploy file', () => {
    const deploy = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
    for (const [, path = ''] of deploy.matchAll(/(?:template = "|node )((?:platform|scripts)\/[^" ]+)/g)) {
      expect(existsSync(join(ROOT, path)), path).to.equal(true);
    }
  });
});
