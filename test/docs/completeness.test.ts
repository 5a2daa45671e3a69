/** Reference pages name everything that there is, and their YAML is taken as it stands. */
import { readdirSync, readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { expect } from 'chai';
import { parse } from 'yaml';
import { COMMANDS } from '../../src/cli/command-list.js';
import { EXIT_CODES } from '../../src/cli/exit-codes.js';
import type { AdminErrorCode } from '../../src/control/admin/index.js';
import { createControlMetrics } from '../../src/control/daemon/metrics.js';
import { RouterMetrics } from '../../src/router/metrics.js';
import type { RefusalReason } from '../../src/routing/types.js';
import { CONTROL_SETTING_NAMES, controlSettingsSchema } from '../../src/settings/control-settings.js';
import { parseDefinitions } from '../../src/settings/definition-documents.js';
import { serviceFields, upstreamFields } from '../../src/settings/definition-schemas.js';
import { ROUTER_SETTING_NAMES, routerSettingsSchema } from '../../src/settings/router-settings.js';
import { runCli } from '../cli/cli-harness.js';
import { type Block, blocksOf, readPage, readPages } from './pages.js';

const ADMIN_SOURCES = fileURLToPath(new URL('../../../src/control/admin/', import.meta.url));
const EXAMPLES = fileURLToPath(new URL('../../../examples/first-service/', import.meta.url));
/** Every reason, so that the compiler asks for a new one here too. */
const REASONS: Readonly<Record<RefusalReason, true>> = {
  'no-configuration': true,
  'unknown-service': true,
  'unknown-route': true,
  'key-required': true,
  'idempotency-key-required': true,
  'idempotency-key-mismatch': true,
  'idempotency-key-expired': true,
  'still-running': true,
  'outcome-unknown': true,
  'ledger-unavailable': true,
  'no-owner': true,
  'no-upstream': true,
  'no-path': true,
  'upstream-limited': true,
  'upstream-resting': true,
  'queue-full': true,
  'link-full': true,
  'gave-way': true,
  'would-miss-deadline': true,
  stopping: true,
  'deadline-passed': true,
  'policy-refused': true,
  'upstream-failed': true,
  quarantined: true,
  'retry-budget-spent': true,
  'attempts-spent': true,
};

/** Every code, so that the compiler asks for a new one here too. */
const ADMIN_CODES: Readonly<Record<AdminErrorCode, true>> = {
  'invalid-request': true,
  'invalid-definition': true,
  'invalid-policy': true,
  unauthenticated: true,
  forbidden: true,
  'not-found': true,
  'method-not-allowed': true,
  conflict: true,
  rejected: true,
  'not-leader': true,
  'outcome-unknown': true,
  'body-too-large': true,
  'unsupported-media-type': true,
  overloaded: true,
  unavailable: true,
  internal: true,
};

/** Routes as the sources name them, e.g. `PUT /v1/services/:name`. */
function routesOf(folder: string): string[] {
  const files = readdirSync(folder, { recursive: true, encoding: 'utf8' }).filter((name) =>
    name.endsWith('.ts'),
  );
  const text = files.map((name) => readFileSync(folder + name, 'utf8')).join('\n');
  const routes = [...text.matchAll(/router\.(get|put|post|delete)\('([^']+)'/g)];
  return routes.map(([, method = '', path = '']) => `${method.toUpperCase()} ${path}`);
}

function expectAll(page: string, words: readonly string[]): void {
  const text = readPage(page);
  const missing = words.filter((word) => !text.includes(`\`${word}\``));
  expect(missing, `missing on ${page}`).to.deep.equal([]);
}

/** Checks a block of YAML by the keys that it has. */
function checkYaml({ page, line, text }: Block): void {
  const value = parse(text.split(/^---$/m)[0] ?? '') as Record<string, unknown>;
  if (typeof value !== 'object' || value === null) {
    return;
  }
  if ('kind' in value) {
    parseDefinitions(`${page}:${line}`, text);
  } else if ('dataFolder' in value) {
    controlSettingsSchema.parse(value);
  } else if ('router' in value) {
    routerSettingsSchema.parse(value);
  }
}

describe('reference pages', () => {
  it('settings: every setting of both daemons', () => {
    const names = [...CONTROL_SETTING_NAMES, ...ROUTER_SETTING_NAMES];
    expectAll(
      'docs/operators/settings.md',
      names.map(({ path }) => path.join('.')),
    );
  });

  it('service files: every field of services and upstreams', () => {
    expectAll('docs/operators/service-files.md', [
      ...Object.keys(serviceFields),
      ...Object.keys(upstreamFields),
    ]);
  });

  it('exit codes: every code', () => {
    const text = readPage('docs/operators/exit-codes.md');
    for (const code of Object.values(EXIT_CODES)) {
      expect(text).to.contain(`| ${code} |`);
    }
  });

  it('alerts: every metric of the project, and every reason', () => {
    const control = createControlMetrics({
      raft: () => {
        throw new Error('not scraped');
      },
      cluster: async () => ({ type: 'unknown' }),
      steps: () => null,
      rangeWork: () => null,
    });
    const router = new RouterMetrics(() => ({
      revision: 0,
      serving: false,
      queued: 0,
      inFlight: 0,
      unsettled: 0,
      limited: 0,
      resting: 0,
      relayed: { upstreams: 0, relays: 0 },
      leaving: 0,
      returns: { made: 0, kept: 0, broken: 0, hopeless: 0 },
      routes: [],
    }));
    const names = [...control.getMetricsAsArray(), ...router.registry.getMetricsAsArray()].map(
      ({ name }) => name,
    );
    expectAll('docs/operators/alerts.md', [
      ...names.filter((name) => name.startsWith('ternmount_')),
      ...Object.keys(REASONS),
    ]);
  });

  it('HTTP API: every path and every code of an error', () => {
    const text = readPage('docs/operators/http-api.md');
    const routes = routesOf(ADMIN_SOURCES);
    expect(routes.length).to.be.greaterThan(10);
    for (const route of routes) {
      expect(text, route).to.contain(route);
    }
    expectAll('docs/operators/http-api.md', Object.keys(ADMIN_CODES));
  });

  it('operators: every page is in the index', () => {
    const folder = fileURLToPath(new URL('../../../docs/operators/', import.meta.url));
    const index = readPage('docs/operators/README.md');
    for (const name of readdirSync(folder)) {
      expect(name === 'README.md' || index.includes(`(${name})`), name).to.equal(true);
    }
  });

  it('design: every page is in the index', () => {
    const folder = fileURLToPath(new URL('../../../docs/design/', import.meta.url));
    const index = readPage('docs/design/README.md');
    for (const name of readdirSync(folder).filter((file) => file.endsWith('.md'))) {
      expect(name === 'README.md' || index.includes(`(${name})`), name).to.equal(true);
    }
  });

  for (const block of readPages().flatMap(blocksOf)) {
    if (block.language === 'yaml') {
      it(`the YAML at ${block.page}:${block.line} is taken`, () => checkYaml(block));
    }
  }

  it('the files of the first service are valid', async () => {
    const files = readdirSync(EXAMPLES).filter((name) => name.endsWith('.yaml'));
    const result = await runCli(['config', 'validate', ...files.map((name) => EXAMPLES + name)]);
    expect(result.exitCode, result.errors).to.equal(0);
    expect(files.length).to.be.greaterThan(4);
  });

  it('every command has a summary that begins with a capital letter', () => {
    for (const { name, summary } of COMMANDS) {
      expect(summary, name).to.match(/^[A-Z]/);
    }
  });
});
