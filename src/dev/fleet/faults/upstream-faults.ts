/** Bad answers and false hints of a stand-in upstream, switched on and off through its control endpoint. */
import got from 'got';
import { TernmountError } from '../../../errors/ternmount-error.js';
import { CONNECTION_FAULT_KINDS, type FaultKind } from '../../standins/upstream/fault-switchboard.js';
import type { ScheduledFault } from '../fault-schedule.js';
import type { Fleet } from '../fleet.js';
import type { FaultLog, Target } from './fault-log.js';

/** Tries to reach a process that may just be starting again. */
const RETRIES = 4;
/** Share of the requests that a fault affects, where not all of them are. */
const SHARES: Readonly<Partial<Record<FaultKind, number>>> = { 'break-off': 0.3, unmarked: 0.3, repeat: 0.7 };

/** The fault needs upstreams that announce themselves. */
export class NeedsDeclaredError extends TernmountError {
  constructor(kind: FaultKind) {
    const options = { code: 'TERNMOUNT_FAULT_NEEDS_DECLARED', retriable: false, info: { kind } };
    super(options, `the fault ${kind} needs a fleet with declared routes (--declared)`);
  }
}

const NEED_DECLARED: ReadonlySet<FaultKind> = new Set(CONNECTION_FAULT_KINDS);

export class UpstreamFaults {
  readonly #fleet: Fleet;
  readonly #log: FaultLog;

  constructor(fleet: Fleet, log: FaultLog) {
    this.#fleet = fleet;
    this.#log = log;
  }

  /** Applies the fault to requests or hints of an upstream for `length` milliseconds. */
  async hold(fault: ScheduledFault, kind: FaultKind, { name }: Target, length: number): Promise<void> {
    if (NEED_DECLARED.has(kind) && !this.#fleet.options.declared) {
      throw new NeedsDeclaredError(kind);
    }
    await this.#setFaultShare(name, kind, SHARES[kind] ?? 1);
    this.#log.note(fault, name);
    await this.#fleet.wait(length);
    // A process that was started again has no faults.
    await this.#setFaultShare(name, kind, 0).catch(() => {});
  }

  async #setFaultShare(upstream: string, kind: FaultKind, share: number): Promise<void> {
    const process = this.#fleet.plan.upstreams.find(({ name }) => name === upstream);
    const url = `http://${process?.admin}/upstreams/${upstream}/faults`;
    await got.put(url, { json: { kind, share }, retry: { limit: RETRIES, methods: ['PUT'] } });
  }
}
