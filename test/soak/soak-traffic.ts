/** Kinds of traffic of a soak: who calls, and the services and routes beside those of every soak. */
import type { Random } from '../../src/dev/sim/random.js';
import { BRIEF_TIMEOUT_MILLIS, LONG_TIMEOUT_MILLIS } from './request-drafts.js';
import { type CallerKind, HOST } from './soak-caller.js';

export interface ServicePlan {
  readonly service: string;
  readonly isKeyed: boolean;
  readonly slots: number;
  /** Share of the asked work that each of its upstreams takes, in turn. */
  readonly workShares: readonly number[];
}

export interface Traffic {
  /** The callers of a router in turn. */
  readonly mix: readonly CallerKind[];
  readonly services: readonly ServicePlan[];
  /** Routes beside those that every soak has. */
  readonly routes: readonly object[];
  /** Routes that a change declares anew beside those of every soak. */
  readonly drawChanged: (random: Random) => readonly object[];
}

const SLOTS = 8;
/** Work of seconds holds many slots at once. */
const LONG_SLOTS = 48;
const ALIKE = [1] as const;
/** One upstream takes ten times as long as the two others. */
const UNEVEN = [1, 0.1, 0.1] as const;

const COMMON_SERVICES: readonly ServicePlan[] = [
  { service: 'reads-1', isKeyed: false, slots: SLOTS, workShares: ALIKE },
  { service: 'reads-2', isKeyed: false, slots: SLOTS, workShares: ALIKE },
  { service: 'orders-1', isKeyed: false, slots: SLOTS, workShares: ALIKE },
  { service: 'seats-1', isKeyed: true, slots: SLOTS, workShares: ALIKE },
];

const LONG_SERVICES: readonly ServicePlan[] = [
  { service: 'long-1', isKeyed: false, slots: LONG_SLOTS, workShares: ALIKE },
  { service: 'uneven-1', isKeyed: false, slots: LONG_SLOTS, workShares: UNEVEN },
  { service: 'brief-1', isKeyed: false, slots: LONG_SLOTS, workShares: ALIKE },
];

export const TRAFFIC = {
  /** Short work of all kinds. */
  mixed: {
    mix: [
      'single',
      'pipedReads',
      'pipedOrders',
      'slowBody',
      'pipedReads',
      'single',
      'pipedReads',
      'halfCloser',
    ],
    services: COMMON_SERVICES,
    routes: [],
    drawChanged: () => [],
  },
  /** Orders of seconds on connections that are used until their process is gone. */
  late: {
    mix: [
      'longSingle',
      'longBurst',
      'longSlowBody',
      'brief',
      'longReads',
      'longBurst',
      'single',
      'longSlowBody',
    ],
    services: [...COMMON_SERVICES, ...LONG_SERVICES],
    routes: [
      route('long', 'unsafe', LONG_TIMEOUT_MILLIS, 'long-1'),
      route('uneven', 'unsafe', LONG_TIMEOUT_MILLIS, 'uneven-1'),
      route('long-reads', 'safe', LONG_TIMEOUT_MILLIS, 'long-1'),
      route('brief', 'unsafe', BRIEF_TIMEOUT_MILLIS, 'brief-1'),
    ],
    drawChanged: (random) => [
      route('long', 'unsafe', LONG_TIMEOUT_MILLIS, random.pick(['long-1', 'uneven-1'])),
    ],
  },
} as const satisfies Readonly<Record<string, Traffic>>;
export type TrafficKind = keyof typeof TRAFFIC;

function route(name: string, type: string, timeoutMillis: number, service: string): object {
  const targetMillis = timeoutMillis / 2;
  const prefix = `/${name}/`;
  return { name, host: HOST, prefix, type, timeoutMillis, targetMillis, priority: 1, attempts: 2, service };
}
