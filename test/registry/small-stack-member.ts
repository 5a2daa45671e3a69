/** A registry in a thread of its own, whose stack the test bounds: applies, writes and reads a deep entry, and sends the version that it read. */
import { parentPort } from 'node:worker_threads';
import { createRegistry, decodeRegistry } from '../../src/registry/index.js';

const DEPTH = 3700;

let note: unknown = 1;
for (let level = 0; level < DEPTH; level += 1) {
  note = { inner: note };
}
const registry = createRegistry();
const route = {
  name: 'r1',
  host: 'h',
  prefix: '/1/',
  type: 'safe',
  timeoutMillis: 1000,
  service: 'menu',
  note,
};
const command = {
  type: 'declaration-apply',
  version: 5,
  expected: 0,
  extent: 'whole',
  routes: [route],
  services: [{ name: 'menu' }],
  limits: null,
  removedRoutes: [],
  removedServices: [],
} as const;
registry.apply(1, { requestId: null, actor: 'operator', at: 1, command });
parentPort?.postMessage(decodeRegistry(registry.encode()).declaredDocument()?.version);
