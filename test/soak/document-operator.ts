/**
 * An operator that replaces a document with many routes all the time, each version once the last one is acknowledged, and reads it beside,
 * over connections that it keeps open until the members' processes end. What it reads must never be older than what was acknowledged before.
 */
import { Agent } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Random } from '../../src/dev/sim/random.js';
import { type ControlAnswer, callControl } from './control-call.js';

const PATH = '/v1/declaration';
const OK = 200;
/** The version that was expected isn't the current one: an order without an answer may have been carried out. */
const CONFLICTS: ReadonlySet<number> = new Set([409, 412]);
const RETRY_MILLIS = 40;
const MAX_READ_PAUSE_MILLIS = 300;
const MARK = 'mark';

interface Document {
  readonly version: number;
  readonly routes: readonly { readonly name: string; readonly prefix: string }[];
}

export interface DocumentOperatorOptions {
  /** Addresses of the members' HTTP API. */
  readonly members: readonly string[];
  readonly routes: number;
  /** Maximum time between two changes. */
  readonly maxPauseMillis: number;
}

export class DocumentOperator {
  /** The last version that is known to be accepted. */
  acknowledged = 0;
  /** Number of changes that were answered as accepted. */
  acknowledgements = 0;
  /** Number of readings that succeeded. */
  readings = 0;
  /** What was read of an older or another state than was acknowledged. */
  readonly violations: string[] = [];
  readonly #options: DocumentOperatorOptions;
  readonly #random: Random;
  readonly #readRandom: Random;
  readonly #agent = new Agent({ keepAlive: true });
  #next = 0;
  #isOver = false;
  #running: Promise<unknown> = Promise.resolve();

  constructor(options: DocumentOperatorOptions, random: Random) {
    this.#options = options;
    this.#random = random;
    this.#readRandom = random.fork();
  }

  start(): void {
    this.#running = Promise.all([this.#changeOnAndOn(), this.#readOnAndOn()]);
  }

  /** Ends after the change that is under way; connections stay open until `close`. */
  async stop(): Promise<void> {
    this.#isOver = true;
    await this.#running;
  }

  close(): void {
    this.#agent.destroy();
  }

  /** Reads the document at one member after the other until one answers, `until` at the latest; `null`: none did. */
  async readBefore(until: number): Promise<number | null> {
    do {
      const versions = await Promise.all(this.#options.members.map((member) => this.#read(member)));
      const version = versions.find((candidate) => candidate !== null);
      if (version !== undefined) {
        return version;
      }
      await sleep(RETRY_MILLIS);
    } while (performance.now() < until);
    return null;
  }

  async #changeOnAndOn(): Promise<void> {
    while (!this.#isOver) {
      await this.#tryChange(this.#nextMember());
      await sleep(this.#random.integer(0, this.#options.maxPauseMillis));
    }
  }

  /** Reads at one member at a time beside the changes. */
  async #readOnAndOn(): Promise<void> {
    while (!this.#isOver) {
      await this.#read(this.#readRandom.pick(this.#options.members));
      await sleep(this.#readRandom.integer(0, MAX_READ_PAUSE_MILLIS));
    }
  }

  async #tryChange(member: string): Promise<void> {
    const expected = this.acknowledged;
    const body = this.#document(expected + 1);
    const headers = { 'If-Match': String(expected) };
    const { status } = await this.#call(member, 'PUT', headers, body);
    if (status === OK) {
      this.acknowledgements += 1;
      this.acknowledged = Math.max(this.acknowledged, expected + 1);
    } else if (CONFLICTS.has(status)) {
      await this.#read(member);
    } else {
      await sleep(RETRY_MILLIS);
    }
  }

  async #read(member: string): Promise<number | null> {
    const atLeast = this.acknowledged;
    const { status, body } = await this.#call(member, 'GET', {});
    if (status !== OK) {
      return null;
    }
    const { version, routes } = JSON.parse(body) as Document;
    if (version < atLeast) {
      this.violations.push(`${member} read as version ${version} after ${atLeast} was acknowledged`);
    }
    const mark = routes.find(({ name }) => name === MARK)?.prefix;
    if (version > 0 && mark !== prefixOf(version)) {
      this.violations.push(`${member} read as version ${version} with ${mark}`);
    }
    this.acknowledged = Math.max(this.acknowledged, version);
    this.readings += 1;
    return version;
  }

  #call(
    member: string,
    method: string,
    headers: Readonly<Record<string, string>>,
    body?: object,
  ): Promise<ControlAnswer> {
    const call = { method, path: PATH, headers, agent: this.#agent };
    return callControl(member, body === undefined ? call : { ...call, body });
  }

  #nextMember(): string {
    const { members } = this.#options;
    this.#next += this.#random.chance(0.5) ? 1 : 0;
    return members[this.#next % members.length] as string;
  }

  #document(version: number): object {
    const routes = Array.from({ length: this.#options.routes }, (_, index) => ({
      name: `route-${index}`,
      host: 'a.example',
      prefix: `/prefix-${index}/`,
      type: 'safe',
      timeoutMillis: 800 + (version % 50),
      service: 'menu',
    }));
    const mark = { ...routes[0], name: MARK, prefix: prefixOf(version) };
    return { version, routes: [...routes, mark], services: [{ name: 'menu' }] };
  }
}

/** Tells a version from all others. */
function prefixOf(version: number): string {
  return `/${MARK}-${version}/`;
}
