/**
 * Parses the value of `--faults`: a comma-separated list of `TYPE:TARGET@T` or `TYPE:TARGET@T+D`, with times in seconds
 * of load, or of names defined in `named-faults.ts`.
 */
import { TernmountError } from '../../errors/ternmount-error.js';
import { ownEntry } from '../../text/own-entry.js';
import { FAULT_KINDS } from '../standins/upstream/fault-switchboard.js';
import { NAMED_FAULTS } from './named-faults.js';

/** Types of faults. `+D` is the duration of the fault, or the time until the process is restarted. */
export const FAULT_TYPES = [
  /** SIGKILL. */
  'kill',
  /** SIGTERM: a planned stop. */
  'stop',
  /** SIGSTOP, then SIGCONT. */
  'freeze',
  /** `upstream drain`, then `--undo`. */
  'drain',
  /** SIGKILL of a control member and deletion of its data folder; then a new replica replaces it. */
  'lose-disk',
  /** As `lose-disk`, and the leader is killed as soon as the repair is reported. */
  'second-loss',
  /** Partition of two zones `A|B`: bytes are held, connections hang. */
  'cut',
  /** Partition of a zone from all others. */
  'isolate',
  /** One-way partition `A>B`: bytes from zone `A` to zone `B` are held, the opposite direction is open. */
  'half-open',
  /** Connections into a zone end one after the other: properly or by a reset, at one end or both, or silently. */
  'end-connections',
  /** The platform lists a live upstream as gone. */
  'platform-gone',
  /** The platform lists a live upstream as leaving. */
  'platform-leaving',
  /** The platform lists every upstream of the target's service as leaving. */
  'platform-leaving-all',
  /** Planned stop and start of `control`, `routers` or `upstreams`, one process after the other. */
  'roll',
  /** An upstream sends bad answers or false hints. */
  ...FAULT_KINDS,
] as const;
export type FaultType = (typeof FAULT_TYPES)[number];

/** A fault and its time. */
export interface ScheduledFault {
  readonly type: FaultType;
  /** A process, an upstream, one or two zones, or one of `ROLE_TARGETS`. */
  readonly target: string;
  /** Seconds after the load started. */
  readonly at: number;
  readonly seconds: number;
}

/** Targets that are resolved when the fault is due. */
export const ROLE_TARGETS = ['leader', 'follower', 'owner', 'unkeyed', 'router'] as const;
export type RoleTarget = (typeof ROLE_TARGETS)[number];

/** The text of a fault is invalid. */
export class FaultSyntaxError extends TernmountError {
  constructor(text: string, expected: string) {
    const options = { code: 'TERNMOUNT_FAULT_SYNTAX', retriable: false, info: { text } };
    super(options, `fault ${JSON.stringify(text)}: expected ${expected}`);
  }
}

const FAULT_PATTERN = /^([a-z-]+):([^@,+]+)@(\d+(?:\.\d+)?)(?:\+(\d+(?:\.\d+)?))?$/;
const DEFAULT_SECONDS = 3;
/** Share of the load before the first named fault, and after the last. */
const MARGIN_SHARE = 0.2;

function parseFault(text: string): ScheduledFault {
  const [, type, target, at, seconds] = FAULT_PATTERN.exec(text) ?? [];
  if (target === undefined) {
    throw new FaultSyntaxError(text, 'TYPE:TARGET@SECONDS, TYPE:TARGET@SECONDS+DURATION or a name');
  }
  if (!FAULT_TYPES.includes(type as FaultType)) {
    throw new FaultSyntaxError(text, `one of ${FAULT_TYPES.join(', ')} before the colon`);
  }
  return {
    type: type as FaultType,
    target,
    at: Number(at),
    seconds: seconds === undefined ? DEFAULT_SECONDS : Number(seconds),
  };
}

/** Time in seconds of the `index`th of `count` named faults, in a load of `seconds`. */
function namedFaultTime(index: number, count: number, seconds: number): number {
  const from = seconds * MARGIN_SHARE;
  const span = seconds * (1 - 2 * MARGIN_SHARE);
  return from + (span * index) / Math.max(1, count);
}

/** Returns all faults of a list in order of time; named ones are spread over the load. Throws `FaultSyntaxError`. */
export function parseFaults(list: string, seconds: number): ScheduledFault[] {
  const items = list.split(',').filter((item) => item !== '');
  const named = items.filter((item) => ownEntry(NAMED_FAULTS, item) !== undefined);
  const faults = items.flatMap((item) => {
    const definition = ownEntry(NAMED_FAULTS, item);
    if (definition === undefined) {
      return [parseFault(item)];
    }
    const at = namedFaultTime(named.indexOf(item), named.length, seconds);
    return definition.faults.map((fault) => ({ ...fault, at }));
  });
  return faults.sort((left, right) => left.at - right.at);
}
