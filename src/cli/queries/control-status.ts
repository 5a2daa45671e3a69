/** `control status`: lists each replica of the control cluster as its members report it. */
import type { RaftStatus } from '../../consensus/types.js';
import { toError } from '../../errors/ternmount-error.js';
import type { Address, ReplicaId } from '../../model/identifiers.js';
import { CLIENT_OPTIONS, createClient } from '../client-options.js';
import type { CommandSpec, Invocation } from '../command-spec.js';
import type { ControlClient } from '../control-client.js';
import { EXIT_CODES, type ExitCode } from '../exit-codes.js';
import { type Column, formatTable, OUTPUT_OPTION, outputFormat, writeOutput } from '../output.js';
import { runWatched, WATCH_OPTIONS } from '../watch.js';

const HEALTH_PATH = '/healthz';

/** The result of querying one admin address. */
interface MemberAnswer {
  readonly address: Address;
  /** `null` if it didn't answer. */
  readonly status: RaftStatus | null;
  readonly problem: string | null;
}

/** One replica of the membership, or a member that answered and isn't in it. */
export interface ReplicaRow {
  readonly replica: ReplicaId;
  readonly role: string;
  /** `voter`, `learner`, `leaving` (an outgoing voter), or `none`. */
  readonly vote: string;
  /** Internal address in the membership. */
  readonly internal: Address | null;
  /** Admin address that answered; `null` if none of the given ones did. */
  readonly admin: Address | null;
  readonly term: number | null;
  readonly commitIndex: number | null;
  /** Entries that the leader has committed and this replica hasn't synced; `null` if not known. */
  readonly behind: number | null;
}

/** The report that the command prints. */
export interface ControlStatusReport {
  readonly leader: ReplicaId | null;
  readonly replicas: readonly ReplicaRow[];
  readonly unanswered: readonly { readonly address: Address; readonly problem: string }[];
  readonly verdict: string;
}

async function queryMember(client: ControlClient, address: Address): Promise<MemberAnswer> {
  try {
    const status = await client.readFrom<RaftStatus>(address, HEALTH_PATH);
    return { address, status, problem: null };
  } catch (thrown) {
    return { address, status: null, problem: toError(thrown).message };
  }
}

/** Returns the leader with the highest term; without a leader, the status with the highest term, then commit index. */
function bestView(statuses: readonly RaftStatus[]): RaftStatus | undefined {
  const rank = (status: RaftStatus): number => (status.role === 'leader' ? 1 : 0);
  return [...statuses].sort(
    (left, right) =>
      rank(right) - rank(left) || right.term - left.term || right.commitIndex - left.commitIndex,
  )[0];
}

function voteOf(view: RaftStatus, replica: ReplicaId): string {
  const { voters, learners, outgoingVoters } = view.membership;
  if (voters.includes(replica)) {
    return 'voter';
  }
  if (outgoingVoters.includes(replica)) {
    return 'leaving';
  }
  return learners.includes(replica) ? 'learner' : 'none';
}

function behindOf(view: RaftStatus, replica: ReplicaId): number | null {
  if (view.role !== 'leader') {
    return null;
  }
  const syncedIndex = replica === view.self ? view.commitIndex : view.matchIndexes[replica];
  return syncedIndex === undefined ? null : Math.max(0, view.commitIndex - syncedIndex);
}

function rowOf(view: RaftStatus, replica: ReplicaId, answers: readonly MemberAnswer[]): ReplicaRow {
  const answer = answers.find(({ status }) => status?.self === replica);
  const status = answer?.status ?? null;
  return {
    replica,
    role: status?.role ?? 'silent',
    vote: voteOf(view, replica),
    internal: view.membership.addresses[replica] ?? null,
    admin: answer?.address ?? null,
    term: status?.term ?? null,
    commitIndex: status?.commitIndex ?? null,
    behind: behindOf(view, replica),
  };
}

function verdictOf(view: RaftStatus | undefined, rows: readonly ReplicaRow[]): string {
  if (view === undefined) {
    return 'no member answered';
  }
  const voters = rows.filter(({ vote }) => vote === 'voter');
  const answering = voters.filter(({ admin }) => admin !== null);
  const quorum = Math.floor(voters.length / 2) + 1;
  if (view.role !== 'leader') {
    return `no leader: ${answering.length} of ${voters.length} voters answer, ${quorum} are needed`;
  }
  const spare = answering.length - quorum;
  if (answering.length === voters.length) {
    return `${voters.length} of ${voters.length} voters answer; ${spare} may be lost`;
  }
  return `${answering.length} of ${voters.length} voters answer; ${Math.max(spare, 0)} more may be lost`;
}

/** Merges the members' answers into a report. */
export function buildReport(answers: readonly MemberAnswer[]): ControlStatusReport {
  const statuses = answers.flatMap(({ status }) => (status === null ? [] : [status]));
  const view = bestView(statuses);
  const membershipReplicas = view === undefined ? [] : Object.keys(view.membership.addresses);
  const replicas = [...new Set([...membershipReplicas, ...statuses.map(({ self }) => self)])];
  const rows = view === undefined ? [] : replicas.map((replica) => rowOf(view, replica, answers));
  const unanswered = answers
    .filter(({ status }) => status === null)
    .map(({ address, problem }) => ({ address, problem: problem ?? '' }));
  const leader = view?.role === 'leader' ? view.self : null;
  return { leader, replicas: rows, unanswered, verdict: verdictOf(view, rows) };
}

const COLUMNS: readonly Column<ReplicaRow>[] = [
  { title: 'REPLICA', value: ({ replica }) => replica },
  { title: 'ROLE', value: ({ role }) => role },
  { title: 'VOTE', value: ({ vote }) => vote },
  { title: 'INTERNAL', value: ({ internal }) => internal },
  { title: 'ADMIN', value: ({ admin }) => admin },
  { title: 'TERM', value: ({ term }) => term },
  { title: 'COMMITTED', value: ({ commitIndex }) => commitIndex },
  { title: 'BEHIND', value: ({ behind }) => behind },
];

function reportText(report: ControlStatusReport): string {
  const unanswered = report.unanswered.map(({ problem }) => `no answer: ${problem}\n`).join('');
  return `${formatTable(COLUMNS, report.replicas)}${unanswered}${report.verdict}\n`;
}

async function show(invocation: Invocation): Promise<ExitCode> {
  const { options, io } = invocation;
  const format = outputFormat(options);
  const client = createClient(options, io);
  return runWatched(invocation, format, async () => {
    const answers = await Promise.all(client.addresses.map((address) => queryMember(client, address)));
    const report = buildReport(answers);
    writeOutput(io, format, report, () => reportText(report));
    return report.leader === null ? EXIT_CODES.unreachable : EXIT_CODES.ok;
  });
}

export const controlStatus: CommandSpec = {
  name: 'control status',
  summary: 'Show the replicas of the control cluster; exit code 4 if there is no leader',
  options: [OUTPUT_OPTION, ...WATCH_OPTIONS, ...CLIENT_OPTIONS],
  examples: ['control status --control 10.0.0.1:7401,10.0.0.2:7401,10.0.0.3:7401'],
  run: show,
};
