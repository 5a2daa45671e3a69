/** Announces one run of an upstream to control by heartbeats, as servers without the project's library do. */
import { setTimeout as delay } from 'node:timers/promises';
import got from 'got';
import type { Address, ServiceName, UpstreamId, Zone } from '../../../model/identifiers.js';

const HEARTBEAT_MILLIS = 300;
const CALL_TIMEOUT_MILLIS = 1000;
const CALL_RETRY_MILLIS = 100;

export interface AnnouncedRun {
  /** Id of the run. */
  readonly id: UpstreamId;
  readonly service: ServiceName;
  readonly address: Address;
  readonly zone: Zone;
  readonly slots: number;
  /** Admin addresses of the control members, called in turn. */
  readonly control: readonly Address[];
  /** Local IP address of outgoing connections. */
  readonly host: string;
}

export class Announcer {
  readonly #run: AnnouncedRun;
  #state: 'ready' | 'draining' = 'ready';
  #sequence = 0;
  #next = 0;
  #isStopped = false;

  constructor(run: AnnouncedRun) {
    this.#run = run;
  }

  /** Sends heartbeats until `stop`; whether one fails makes no difference to the next. */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      await this.#announce();
      await delay(HEARTBEAT_MILLIS);
    }
  }

  /** Says that the run leaves. Returns whether control has acknowledged it within `limitMillis`. */
  async leave(limitMillis: number): Promise<boolean> {
    this.#state = 'draining';
    const deadline = performance.now() + limitMillis;
    let isAcknowledged = await this.#announce();
    while (!isAcknowledged && performance.now() < deadline) {
      await delay(CALL_RETRY_MILLIS);
      isAcknowledged = await this.#announce();
    }
    return isAcknowledged;
  }

  /** Takes the run back and sends no more heartbeats. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    await this.#call('withdraw', {});
  }

  #announce(): Promise<boolean> {
    const { service, address, zone, slots } = this.#run;
    this.#sequence += 1;
    return this.#call('heartbeat', {
      service,
      address,
      zone,
      version: 'v1',
      slots,
      state: this.#state,
      warmupMillis: 0,
      sequence: this.#sequence,
    });
  }

  /** Calls one member, the next one after a failure. Returns whether it acknowledged the call. */
  async #call(action: string, body: object): Promise<boolean> {
    const { id, control, host } = this.#run;
    const member = control[this.#next % control.length];
    try {
      await got.post(`http://${member}/v1/upstreams/${id}/${action}`, {
        json: body,
        localAddress: host,
        methodRewriting: false,
        retry: { limit: 0 },
        timeout: { request: CALL_TIMEOUT_MILLIS },
      });
      return true;
    } catch {
      this.#next += 1;
      return false;
    }
  }
}
