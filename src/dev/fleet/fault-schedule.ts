/**
 * Faults of a fleet run as `--faults` writes them: `TYPE:TARGET@T` or `TYPE:TARGET@T+D`, with commas between; times in
 * seconds of load. A name of `named-faults.ts` may stand in place of one.
 */
import { TernmountError } from '../../errors/ternmount-error.js';
import { FAULT_KINDS } from '../standins/upstream/fault-switchboard.js';
import { NAMED_FAULTS } from './named-faults.js';

/** What can be done to a fleet. `+D` is how long it lasts, or the time until the process is started again. */
export const FAULT_TYPES = [
  /** SIGKILL. */
  'kill',
  /** SIGTERM: a planned stop. */
  'stop',
  /** SIGSTOP, then SIGCONT. */
  'freeze',
  /** `upstream drain`, then `--undo`. */
  'drain',
  /** SIGKILL of a control member, its data folder deleted; then a new replica takes its place. */
  'lose-disk',
  /** As `lose-disk`; the leader is killed in the moment in which the repair is reported. */
  'second-loss',
  /** Two zones `A|B` lose each other: bytes wait, connections hang. */
  'cut',
  /** A zone loses all others. */
  'isolate',
  /** Bytes from zone `A` to zone `B` wait, those of the other way pass: `A>B`. */
  'half-open',
  /** The platform's list names a live upstream as gone. */
  'platform-gone',
  /** The platform's list names a live upstream as leaving. */
  'platform-leaving',
  /** It names every upstream of the target's service as leaving. */
  'platform-leaving-all',
  /** Planned stop and start of `control`, `routers` or `upstreams`, one process after the other. */
  'roll',
  /** An upstream answers badly or gives false hints. */
  ...FAULT_KINDS,
] as const;
export type FaultType = (typeof FAULT_TYPES)[number];

/** One fault and when it is due. */
export interface ScheduledFault {
  readonly type: FaultType;
  /** A process, an upstream, a zone or two, or one of `ROLE_TARGETS`. */
  readonly target: string;
  /** Seconds after the load started. */
  readonly at: number;
  readonly seconds: number;
}

/** Targets that are looked up when the fault is due. */
export const ROLE_TARGETS = ['leader', 'follower', 'owner', 'unkeyed', 'router'] as const;
export type RoleTarget = (typeof ROLE_TARGETS)[number];

/** A fault isn't written as it must be. */
export class FaultSyntaxError extends TernmountError {
  constructor(text: string, expected: string) {
    const options = { code: 'TERNMOUNT_FAULT_SYNTAX', retriable: false, info: { text } };
    super(options, `fault ${JSON.stringify(text)}: expected ${expected}`);
  }
}

const FAULT_PATTERN = /^([a-z-]+):([^@,+]+)@(\d+(?:\.\d+)?)(?:\+(\d+(?:\.\d+)?))?$/;
const DEFAULT_SECONDS = 3;
/** Share of the load before the first named fault and after the last. */
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

/** When the `index`th of `count` named faults is due, in a load of `seconds`. */
function placeNamed(index: number, count: number, seconds: number): number {
  const from = seconds * MARGIN_SHARE;
  const stretch = seconds * (1 - 2 * MARGIN_SHARE);
  return from + (stretch * index) / Math.max(1, count);
}

/** All faults of a list in order of time; named ones are spread over the load. Throws `FaultSyntaxError`. */
export function parseFaults(list: string, seconds: number): ScheduledFault[] {
  const items = list.split(',').filter((item) => item !== '');
  const named = items.filter((item) => item in NAMED_FAULTS);
  const faults = items.flatMap((item) => {
    const definition = NAMED_FAULTS[item];
    if (definition === undefined) {
      return [parseFault(item)];
    }
    const at = placeNamed(named.indexOf(item), named.length, seconds);
    return definition.faults.map((fault) => ({ ...fault, at }));
  });
  return faults.sort((left, right) => left.at - right.at);
}
