/** Sabotages: mechanisms broken on purpose, which the checker must detect for its results to be valid. */
import type { PromiseName } from '../checker/rule.js';

export interface Sabotage {
  /** The promise that it breaks. */
  readonly promise: PromiseName;
  readonly description: string;
  /** Faults under which the checker can detect it. */
  readonly faults: readonly string[];
  /** Number of requests that crash each upstream that runs them; 0 by default. */
  readonly crashingRequests?: number;
  /** Number of callers with work of seconds, who also send to routers that stop; 0 by default. */
  readonly lateCallers?: number;
  /** Number of operators that evacuate zones; 0 by default. */
  readonly evacuations?: number;
  /** Number of upstreams that report constraints in their answers; 0 by default. */
  readonly needs?: number;
  /** Number of operators that take a service with ranges of keys away and bring it back; 0 by default. */
  readonly redeclarations?: number;
  /** Number of servers with ranges of keys that are lost for good; 0 by default. */
  readonly rangeLosses?: number;
  /** Whether routers carry connections of others; `false` by default. */
  readonly relays?: boolean;
  /** Whether upstreams give back the caller's id of a request; `false` by default. */
  readonly sharedIds?: boolean;
  /** How long a control member may be silent before the leader replaces it by itself; 0 by default. */
  readonly replaceAfterMillis?: number;
  /** Time from the first fault to the end of all faults, if it isn't the usual one. */
  readonly faultPhaseMillis?: number;
}

const TABLE = {
  'lease-from-receipt': {
    promise: 'one-owner',
    description: 'an upstream measures its lease from the arrival of the renewal, not from its own timestamp',
    faults: ['upstream-freeze', 'delay', 'cut-upstream'],
  },
  'grant-before-lease-end': {
    promise: 'one-owner',
    description: 'renewals give a longer lease than the granter waits for',
    faults: ['cut-upstream', 'upstream-freeze'],
  },
  'lease-end-ignored': {
    promise: 'one-owner',
    description: 'an upstream continues to serve its shards after its lease has ended',
    faults: ['cut-upstream', 'owner-freeze'],
  },
  'no-fence-at-effect': {
    promise: 'one-owner',
    description: 'an upstream does not check its lease again when a request takes effect',
    faults: ['owner-freeze'],
  },
  'no-fsync': {
    promise: 'acknowledged-survives',
    description: 'writes count as durable before they are synced',
    faults: ['power-loss'],
  },
  'replica-id-reused': {
    promise: 'acknowledged-survives',
    description: 'a control member that lost its disk votes again under its old replica id',
    faults: ['stale-majority'],
  },
  'vote-not-kept': {
    promise: 'acknowledged-survives',
    description: 'term and vote are not written to disk',
    faults: ['power-loss'],
  },
  'compare-and-set-ignored': {
    promise: 'acknowledged-survives',
    description: 'operators’ changes apply whatever revision they expected',
    faults: [],
  },
  'dedup-lost-in-snapshot': {
    promise: 'acknowledged-survives',
    description: 'snapshots leave out the table of operators’ request ids',
    faults: ['power-loss', 'away-through-changes', 'leader-crash'],
  },
  'connection-reused-after-cancel': {
    promise: 'own-whole-answer',
    description: 'a connection with an outstanding answer is reused, and answers are accepted unchecked',
    faults: ['upstream-freeze'],
  },
  'piece-as-whole': {
    promise: 'own-whole-answer',
    description: 'the part of an answer received before the connection broke is delivered as the answer',
    faults: ['bad-answers'],
  },
  'unknown-told-as-not-run': {
    promise: 'not-run-is-true',
    description: 'a request whose attempt is in doubt is answered not-run',
    faults: ['owner-freeze', 'bad-answers'],
  },
  'retry-after-send': {
    promise: 'at-most-once',
    description: 'an attempt that broke after it was sent counts as never sent',
    faults: ['bad-answers', 'upstream-crash'],
  },
  'claim-released-in-doubt': {
    promise: 'at-most-once',
    description: 'a claim whose attempt is in doubt is released',
    faults: ['upstream-freeze', 'bad-answers'],
  },
  'ledger-lost-in-snapshot': {
    promise: 'at-most-once',
    description: 'snapshots leave out the ledger',
    faults: ['power-loss', 'away-through-changes', 'leader-crash'],
  },
  'drain-ignored': {
    promise: 'leaving-gets-no-work',
    description: 'routers continue to send to upstreams that are marked as leaving',
    faults: [],
  },
  'planned-stop-cuts': {
    promise: 'planned-stop-cuts-nothing',
    description: 'a router ends on a planned stop while requests are open',
    faults: ['planned-router-stop'],
  },
  'config-lease-ignored': {
    promise: 'accepted-in-force',
    description: 'a router continues to serve after its configuration lease has ended',
    faults: ['cut-router'],
  },
  'sync-without-quorum': {
    promise: 'accepted-in-force',
    description: 'a control member confirms configurations without a quorum',
    faults: ['control-isolated', 'zone-cut'],
  },
  'wait-cut-short': {
    promise: 'accepted-in-force',
    description: 'an operator who waits receives an immediate response that a change is in force',
    faults: [],
  },
  'revision-by-count': {
    promise: 'acknowledged-survives',
    description: 'revisions count the changes that a run of a control member accepted',
    faults: ['leader-crash'],
  },
  'crashes-forgotten': {
    promise: 'crashes-bounded',
    description: 'routers’ reports of runs that crashed during a request never reach control',
    faults: [],
    crashingRequests: 2,
  },
  'evacuations-untold': {
    promise: 'leaving-gets-no-work',
    description: 'routers receive no evacuations of zones',
    faults: [],
    evacuations: 1,
  },
  'limits-unread': {
    promise: 'needs-heeded',
    description: 'routers ignore the limits that upstreams report',
    faults: [],
    needs: 6,
  },
  'rests-cut': {
    promise: 'needs-heeded',
    description: 'routers receive a short back-off, whatever an upstream requests',
    faults: [],
    needs: 6,
  },
  'leaving-unread': {
    promise: 'leaving-gets-no-work',
    description: 'routers ignore that an upstream reports in its answers that it is draining',
    faults: [],
    needs: 6,
  },
  'suspension-unseen': {
    promise: 'one-owner',
    description:
      'the clock of an upstream’s lease does not count the time for which its machine was suspended',
    faults: ['owner-suspended'],
  },
  'relay-loss-as-unsent': {
    promise: 'at-most-once',
    description: 'a request handed to another router that is lost counts as never sent',
    faults: ['relay-crash'],
    relays: true,
  },
  'id-twice-on-connection': {
    promise: 'not-run-is-true',
    description:
      'a connection carries several attempts with one id, so that a copied answer counts as that of the next',
    faults: ['repeated-refusals'],
    sharedIds: true,
  },
  'one-crash-quarantines': {
    promise: 'innocent-served',
    description: 'a request is refused everywhere once a single run ended during it',
    faults: ['upstream-crash', 'owner-freeze'],
  },
  'retired-ranges-dropped': {
    promise: 'one-owner',
    description: 'who holds the ranges of a service is forgotten when the service is removed',
    faults: [],
    redeclarations: 1,
  },
  'late-grants-uncounted': {
    promise: 'one-owner',
    description: 'a grant without an answer counts as lost, though its upstream may accept it late',
    faults: ['range-server-cut'],
    redeclarations: 1,
  },
  'grants-into-silence': {
    promise: 'recovers',
    description:
      'repeated heartbeats of a lost upstream count as signs of life, so that it is still granted its ranges',
    faults: [],
    rangeLosses: 1,
  },
  'retired-ranges-lost-in-snapshot': {
    promise: 'one-owner',
    description: 'snapshots leave out who holds the ranges of removed services',
    faults: ['power-loss', 'leader-crash'],
    redeclarations: 6,
  },
  'replacement-never-made': {
    promise: 'recovers',
    description: 'a control member that lost its disk is not replaced before the next one is lost',
    faults: ['second-loss'],
  },
  'vote-before-sync': {
    promise: 'acknowledged-survives',
    description: 'a control member that lost its disk gets its vote before it has synced what is committed',
    faults: ['disks-in-series'],
    replaceAfterMillis: 2000,
    faultPhaseMillis: 24_000,
  },
  'vote-after-next-loss': {
    promise: 'recovers',
    description: 'a control member that lost its disk asks to join only after the next disk may be lost',
    faults: ['disks-in-series'],
    replaceAfterMillis: 2000,
  },
  'stop-end-unknown': {
    promise: 'planned-stop-cuts-nothing',
    description: 'a stopping router does not know when it will be killed',
    faults: ['router-stop-with-kill'],
    lateCallers: 2,
  },
} as const satisfies Record<string, Sabotage>;

export type SabotageName = keyof typeof TABLE;

export const SABOTAGES: Readonly<Record<SabotageName, Sabotage>> = TABLE;

export const SABOTAGE_NAMES = Object.keys(TABLE) as SabotageName[];
