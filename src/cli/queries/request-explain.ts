/**
 * `request explain`: finds the cause of a request's outcome in log files. Prints the routers' records of the request
 * and, for each upstream and range involved, the last record that control logged before it.
 */
import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';
import { TernmountError, toError } from '../../errors/ternmount-error.js';
import type { CommandSpec, Invocation } from '../command-spec.js';
import { EXIT_CODES, type ExitCode } from '../exit-codes.js';

/** The fields of a log record that this command uses. */
interface LogRecord {
  readonly time: string;
  readonly process: string;
  readonly event: string;
  readonly text: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

class LogFileError extends TernmountError {
  constructor(file: string, cause: Error) {
    super({ code: 'TERNMOUNT_LOG_FILE_UNREADABLE', retriable: false, cause }, `${file}: can't be read`);
  }
}

/** Reads log records; skips lines that aren't valid JSON, such as truncated ones. */
async function* readLog(file: string): AsyncIterable<LogRecord> {
  const lines = createInterface({ input: createReadStream(file), crlfDelay: Number.POSITIVE_INFINITY });
  try {
    for await (const line of lines) {
      const record = parseLine(line);
      if (record !== null) {
        yield record;
      }
    }
  } catch (thrown) {
    throw new LogFileError(file, toError(thrown));
  }
}

function parseLine(line: string): LogRecord | null {
  const start = line.indexOf('{');
  if (start === -1) {
    return null;
  }
  try {
    const text = line.slice(start);
    const fields = JSON.parse(text) as Record<string, unknown>;
    const { time = '', process = '', event = '' } = fields;
    return { time: String(time), process: String(process), event: String(event), text, fields };
  } catch {
    return null;
  }
}

/** Returns the upstreams that a request was sent to, and the owner of its key. */
function upstreamsOf({ fields }: LogRecord): string[] {
  const attempts = (fields.attempts ?? []) as readonly { readonly upstream: string }[];
  const owner = typeof fields.owner === 'string' ? [fields.owner] : [];
  return [...new Set([...attempts.map(({ upstream }) => upstream), ...owner])];
}

function concerns(line: LogRecord, upstream: string): boolean {
  const { fields } = line;
  return [fields.upstream, fields.owner, fields.former].includes(upstream);
}

/** Whether `line` records a change of the range that contains the request's key. */
function isRangeOf(line: LogRecord, request: LogRecord): boolean {
  const key = Number(request.fields.key ?? Number.NaN);
  const { service, from, to } = line.fields;
  const isSame = service === request.fields.service;
  return line.event === 'range-changed' && isSame && Number(from) <= key && key <= Number(to);
}

/** Returns the last record up to `time` that matches. */
function lastBefore(
  lines: readonly LogRecord[],
  time: string,
  matches: (line: LogRecord) => boolean,
): LogRecord | undefined {
  return lines.filter((line) => line.time <= time && matches(line)).at(-1);
}

async function explain({ positionals, options, io }: Invocation): Promise<ExitCode> {
  const [id = '', ...files] = positionals;
  const lines: LogRecord[] = [];
  for (const file of files) {
    for await (const line of readLog(file)) {
      lines.push(line);
    }
  }
  lines.sort((one, other) => (one.time < other.time ? -1 : 1));
  const requests = lines.filter(({ fields, event }) => fields.id === id && event.startsWith('request-'));
  for (const request of requests) {
    io.write(`${request.text}\n`);
    const causes = options.on('all') ? historyOf(request, lines) : causesOf(request, lines);
    for (const line of causes) {
      io.write(`  ${line.text}\n`);
    }
  }
  if (requests.length === 0) {
    io.writeError(
      `no record of request ${JSON.stringify(id)}: ordinary responses are logged only as a sample\n`,
    );
    return EXIT_CODES.failed;
  }
  return EXIT_CODES.ok;
}

/** Returns all records up to the request that concern its upstreams or its range. */
function historyOf(request: LogRecord, lines: readonly LogRecord[]): LogRecord[] {
  const upstreams = upstreamsOf(request);
  const concernsAny = (line: LogRecord): boolean => upstreams.some((upstream) => concerns(line, upstream));
  return lines.filter((line) => line.time <= request.time && (concernsAny(line) || isRangeOf(line, request)));
}

/** Returns control's last decisions on the request's key and upstreams, and its router's last configuration. */
function causesOf(request: LogRecord, lines: readonly LogRecord[]): LogRecord[] {
  const { time, process } = request;
  const causes = [
    lastBefore(lines, time, (line) => isRangeOf(line, request)),
    ...upstreamsOf(request).flatMap((upstream) => [
      lastBefore(lines, time, (line) => line.event === 'upstream-changed' && concerns(line, upstream)),
      lastBefore(lines, time, (line) => line.event === 'holder-call-ended' && concerns(line, upstream)),
      lastBefore(lines, time, (line) => line.event === 'upstream-ejected' && concerns(line, upstream)),
      lastBefore(
        lines,
        time,
        (line) => line.event === 'path-changed' && line.process === process && concerns(line, upstream),
      ),
    ]),
    lastBefore(lines, time, (line) => line.event === 'declaration-changed'),
    lastBefore(lines, time, (line) => line.event === 'configuration-applied' && line.process === process),
  ];
  return causes.filter((line) => line !== undefined);
}

export const requestExplain: CommandSpec = {
  name: 'request explain',
  summary: 'Find the cause of the outcome of a request in log files, by its id',
  arguments: '<id> <...files>',
  options: [
    {
      name: 'all',
      summary: 'Print all earlier records of control on its upstreams, not only the last',
    },
  ],
  examples: ['request explain 9c41d07be2a35f68 router-1.log control-1.log'],
  run: explain,
};
