/** `status`: lists problems, how long each has lasted, and what to do. */
import type { ServiceMeasures } from '../../control/service-measures.js';
import { toError } from '../../errors/ternmount-error.js';
import type { Address } from '../../model/identifiers.js';
import type { UpstreamRecord } from '../../registry/types.js';
import type { StatusBody, UpstreamsBody } from '../api-types.js';
import { ControlAnswerError } from '../cli-error.js';
import { CLIENT_OPTIONS, createClient } from '../client-options.js';
import type { CommandSpec, Invocation } from '../command-spec.js';
import type { ControlClient } from '../control-client.js';
import { EXIT_CODES, type ExitCode } from '../exit-codes.js';
import { formatMillis, OUTPUT_OPTION, outputFormat, writeOutput } from '../output.js';
import { controlFindings } from '../status/control-findings.js';
import { type Finding, sortFindings } from '../status/finding.js';
import { serviceFindings } from '../status/service-findings.js';
import { serviceLines, sortedServices } from '../status/service-lines.js';
import { type MemberReport, type StatusView, toStatusView } from '../status/status-view.js';
import { runWatched, WATCH_OPTIONS } from '../watch.js';

/** Errors that abort the command, since the user must supply a valid token first. */
const TOKEN_ERROR_CODES = new Set(['unauthenticated', 'forbidden']);

/** The status page as printed in JSON or YAML. */
interface StatusPage {
  readonly summary: string;
  /** The leader's measures of each keyed service; empty without a leader. */
  readonly services: readonly ServiceMeasures[];
  readonly findings: readonly Finding[];
}

async function queryMember(client: ControlClient, address: Address): Promise<MemberReport> {
  try {
    const status = await client.readFrom<StatusBody>(address, '/v1/status');
    return { address, status, problem: null };
  } catch (thrown) {
    if (thrown instanceof ControlAnswerError && TOKEN_ERROR_CODES.has(thrown.adminCode)) {
      throw thrown;
    }
    return { address, status: null, problem: toError(thrown).message };
  }
}

/** Reads the declared upstreams from the leader; returns none without a leader. */
async function readUpstreams(
  client: ControlClient,
  members: readonly MemberReport[],
): Promise<readonly UpstreamRecord[]> {
  const leader = members.find(({ status }) => status?.raft.role === 'leader');
  if (leader === undefined) {
    return [];
  }
  const body = await client
    .readFrom<UpstreamsBody>(leader.address, '/v1/upstreams')
    .catch((): Pick<UpstreamsBody, 'upstreams'> => ({ upstreams: [] }));
  return body.upstreams;
}

/** Returns a one-line summary of the deployment. */
function summaryOf({ best, leader, upstreams, routers }: StatusView): string {
  if (best === null) {
    return 'control doesn’t answer';
  }
  const { voters } = best.raft.membership;
  const leased = best.upstreams.filter(({ state }) => state === 'leased').length;
  const connected = routers.filter((router) => router.connected).length;
  const leadership = leader === null ? 'without a leader' : `led by ${leader.raft.self}`;
  const parts = [
    `control: ${voters.length} voters, ${leadership}, revision ${best.revision}`,
    leader === null ? '' : `upstreams: ${leased} of ${upstreams.size} leased`,
    `routers: ${connected}`,
    best.movingShards > 0 ? `${best.movingShards} shards move` : '',
  ];
  return parts.filter((part) => part !== '').join('; ');
}

function findingText({ severity, subject, problem, sinceMillis, advice }: Finding): string {
  const since = sinceMillis === null ? '' : ` (since ${formatMillis(sinceMillis)})`;
  return `${severity.toUpperCase()} ${subject}: ${problem}${since}\n  do: ${advice}\n`;
}

function pageText({ summary, findings }: StatusPage, lines: readonly string[]): string {
  const verdict = findings.length === 0 ? 'nothing is wrong\n' : findings.map(findingText).join('');
  return `${[summary, ...lines].join('\n')}\n${verdict}`;
}

function exitCodeFor({ leader }: StatusView, findings: readonly Finding[]): ExitCode {
  if (leader === null) {
    return EXIT_CODES.unreachable;
  }
  return findings.some(({ severity }) => severity !== 'note') ? EXIT_CODES.failed : EXIT_CODES.ok;
}

async function show(invocation: Invocation): Promise<ExitCode> {
  const { options, io } = invocation;
  const format = outputFormat(options);
  const client = createClient(options, io);
  return runWatched(invocation, format, async () => {
    const members = await Promise.all(client.addresses.map((address) => queryMember(client, address)));
    const view = toStatusView(members, await readUpstreams(client, members));
    const findings = sortFindings([...controlFindings(view), ...serviceFindings(view)]);
    const page = { summary: summaryOf(view), services: sortedServices(view.leader), findings };
    writeOutput(io, format, page, () => pageText(page, serviceLines(view)));
    return exitCodeFor(view, findings);
  });
}

export const status: CommandSpec = {
  name: 'status',
  summary: 'Show what is wrong, since when, and what to do; exit code 1 if anything is, 4 without a leader',
  options: [OUTPUT_OPTION, ...WATCH_OPTIONS, ...CLIENT_OPTIONS],
  examples: ['status --control 10.0.0.1:7401,10.0.0.2:7401,10.0.0.3:7401', 'status --watch'],
  run: show,
};
