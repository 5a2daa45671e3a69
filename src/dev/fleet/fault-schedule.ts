/** Faults of a fleet run as flags write them: `NAME@T`, `NAME@T+D` and `A|B@T+D`, times in seconds of load. */
import { TernmountError } from '../../errors/ternmount-error.js';

/** A process by its name, or by the part it plays when the fault is due. */
export type FaultTarget = string;
/** The upstream that owns the busiest shard. */
export const OWNER_TARGET = 'owner';
/** The control member that leads. */
export const LEADER_TARGET = 'leader';

export type ScheduledFault =
  | {
      readonly type: 'kill' | 'stop' | 'restart' | 'drain';
      readonly at: number;
      readonly target: FaultTarget;
    }
  | {
      readonly type: 'freeze';
      readonly at: number;
      readonly seconds: number;
      readonly target: FaultTarget;
    }
  | {
      readonly type: 'cut';
      readonly at: number;
      readonly seconds: number;
      readonly zones: readonly [string, string];
    };

/** A flag isn't a fault. */
export class FaultSyntaxError extends TernmountError {
  constructor(text: string, expected: string) {
    const options = { code: 'TERNMOUNT_FAULT_SYNTAX', retriable: false, info: { text } };
    super(options, `${JSON.stringify(text)} is not ${expected}`);
  }
}

/** Flags with faults, each given any number of times. */
export interface FaultFlags {
  readonly kill: readonly string[];
  readonly stop: readonly string[];
  readonly restart: readonly string[];
  readonly drain: readonly string[];
  readonly freeze: readonly string[];
  readonly cut: readonly string[];
}

const MOMENT_PATTERN = /^([^@|+]+)@(\d+(?:\.\d+)?)$/;
const STRETCH_PATTERN = /^([^@|+]+)@(\d+(?:\.\d+)?)\+(\d+(?:\.\d+)?)$/;
const CUT_PATTERN = /^([^@|+]+)\|([^@|+]+)@(\d+(?:\.\d+)?)\+(\d+(?:\.\d+)?)$/;

function parseMoment(type: 'kill' | 'stop' | 'restart' | 'drain', text: string): ScheduledFault {
  const match = MOMENT_PATTERN.exec(text);
  if (!match) {
    throw new FaultSyntaxError(text, 'NAME@SECONDS');
  }
  return { type, target: match[1] as string, at: Number(match[2]) };
}

function parseFreeze(text: string): ScheduledFault {
  const match = STRETCH_PATTERN.exec(text);
  if (!match) {
    throw new FaultSyntaxError(text, 'NAME@SECONDS+DURATION');
  }
  return { type: 'freeze', target: match[1] as string, at: Number(match[2]), seconds: Number(match[3]) };
}

function parseCut(text: string): ScheduledFault {
  const match = CUT_PATTERN.exec(text);
  if (!match) {
    throw new FaultSyntaxError(text, 'ZONE|ZONE@SECONDS+DURATION');
  }
  const zones = [match[1] as string, match[2] as string] as const;
  return { type: 'cut', zones, at: Number(match[3]), seconds: Number(match[4]) };
}

/** All faults in order of time. Throws `FaultSyntaxError`. */
export function parseFaults(flags: FaultFlags): ScheduledFault[] {
  const faults = [
    ...flags.kill.map((text) => parseMoment('kill', text)),
    ...flags.stop.map((text) => parseMoment('stop', text)),
    ...flags.restart.map((text) => parseMoment('restart', text)),
    ...flags.drain.map((text) => parseMoment('drain', text)),
    ...flags.freeze.map(parseFreeze),
    ...flags.cut.map(parseCut),
  ];
  return faults.sort((left, right) => left.at - right.at);
}
