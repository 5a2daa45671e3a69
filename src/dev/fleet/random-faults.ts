/**
 * Draws a schedule of faults for a fleet with declared routes: signals, restarts, cuts, ends of connections and bad answers, in series for each process and overlapping
 * between them.
 */
import type { Zone } from '../../model/identifiers.js';
import { StandinRandomSource } from '../standins/random-source.js';
import type { RandomSource } from '../virtual/random-source.js';
import type { FaultType, ScheduledFault } from './fault-schedule.js';

/** What can be hit. Faults of one group follow one another; those of different groups overlap. */
export interface FaultTargets {
  readonly routers: readonly string[];
  /** Upstreams with processes of their own. */
  readonly upstreams: readonly string[];
  readonly zones: readonly Zone[];
}

interface FaultGroup {
  readonly draws: readonly { readonly type: FaultType; readonly target: string }[];
  /** Whether a process is started again after the fault, which takes time. */
  readonly restarts: boolean;
}

/** Time after which the first fault begins, and which the last one leaves at the end, in seconds. */
const MARGIN_SECONDS = { before: 1.5, after: 7 } as const;
/** Duration of a fault and pause between two of a group, in seconds. */
const LENGTH_SECONDS = [0.4, 3] as const;
const PAUSE_SECONDS = [0.3, 4] as const;
/** Longest time that the planned stop or start of a process takes beyond the fault, in seconds. */
const RESTART_SECONDS = 8;

const PROCESS_TYPES: readonly FaultType[] = ['kill', 'stop', 'freeze'];
const ANSWER_TYPES: readonly FaultType[] = ['repeat', 'break-off', 'unmarked', 'early'];

/** Returns the faults of a run of `seconds` in order of time; the same for the same seed. */
export function randomFaults(seed: number, seconds: number, targets: FaultTargets): ScheduledFault[] {
  const random = new StandinRandomSource(seed);
  return groupsOf(targets)
    .flatMap((group) => drawGroup(group, seconds, random))
    .sort((left, right) => left.at - right.at);
}

function groupsOf({ routers, upstreams, zones }: FaultTargets): FaultGroup[] {
  const drawsOf = (types: readonly FaultType[], target: string): FaultGroup['draws'] =>
    types.map((type) => ({ type, target }));
  const [first = '', second = ''] = zones;
  return [
    { draws: ['leader', 'follower'].flatMap((target) => drawsOf(PROCESS_TYPES, target)), restarts: true },
    ...routers.map((name) => ({ draws: drawsOf(PROCESS_TYPES, name), restarts: true })),
    ...upstreams.map((name) => ({ draws: drawsOf(PROCESS_TYPES, name), restarts: true })),
    ...upstreams.map((name) => ({ draws: drawsOf(ANSWER_TYPES, name), restarts: false })),
    ...zones.map((zone) => ({ draws: drawsOf(['end-connections'], zone), restarts: false })),
    {
      draws: [
        { type: 'cut', target: `${first}|${second}` },
        { type: 'half-open', target: `${second}>${first}` },
        { type: 'isolate', target: first },
      ],
      restarts: false,
    },
  ];
}

function drawGroup({ draws, restarts }: FaultGroup, seconds: number, random: RandomSource): ScheduledFault[] {
  const faults: ScheduledFault[] = [];
  const restartSeconds = restarts ? RESTART_SECONDS : 0;
  const end = seconds - MARGIN_SECONDS.after;
  let at = MARGIN_SECONDS.before + between(PAUSE_SECONDS, random);
  while (at < end) {
    const draw = draws[Math.floor(random.fraction() * draws.length)] as FaultGroup['draws'][number];
    const length = Math.min(between(LENGTH_SECONDS, random), end - at);
    faults.push({ ...draw, at: round(at), seconds: round(length) });
    at += length + restartSeconds + between(PAUSE_SECONDS, random);
  }
  return faults;
}

function between([least, most]: readonly [number, number], random: RandomSource): number {
  return least + random.fraction() * (most - least);
}

function round(seconds: number): number {
  return Math.round(seconds * 100) / 100;
}
