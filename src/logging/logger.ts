/** Structured logs: one JSON object a line on standard error, with `debug` deciding which namespaces are on. */
import createDebug from 'debug';

/** How grave a record is, mildest first. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/** A record's own facts; values must suit JSON, errors may stand among them. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Facts that stand in each record of a process. */
export interface ProcessIdentity {
  readonly process: string;
  readonly zone: string;
}

/** Writes records of one namespace. */
export interface Logger {
  debug(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
  log(level: LogLevel, event: string, fields?: LogFields): void;
}

let identity: ProcessIdentity = { process: 'ternmount', zone: '' };

/** Sets the facts that each later record of this process carries. */
export function identifyProcess(facts: ProcessIdentity): void {
  identity = facts;
}

/** Turns namespaces on; `pattern` as for `debug`, e.g. `ternmount:*`. */
export function enableLogs(pattern: string): void {
  createDebug.enable(pattern);
}

/** Errors in fields become their message, code and stack. */
function serialise(_key: string, value: unknown): unknown {
  if (value instanceof Error) {
    const { code } = value as Error & { code?: unknown };
    return { name: value.name, message: value.message, code, stack: value.stack };
  }
  return value;
}

/** How a logger differs from the usual. */
export interface LoggerOptions {
  /** Write each record, whichever namespaces are on. For audit records. */
  readonly always?: boolean;
}

/** Makes the logger of a namespace: `ternmount:<namespace>`. Warnings and errors are always written. */
export function createLogger(namespace: string, options: LoggerOptions = {}): Logger {
  const channel = createDebug(`ternmount:${namespace}`);
  const log = (level: LogLevel, event: string, fields: LogFields = {}): void => {
    const optional = options.always !== true && (level === 'debug' || level === 'info');
    if (optional && !channel.enabled) {
      return;
    }
    const record = { time: new Date().toISOString(), level, ...identity, namespace, event, ...fields };
    process.stderr.write(`${JSON.stringify(record, serialise)}\n`);
  };
  return {
    log,
    debug: (event, fields) => log('debug', event, fields),
    info: (event, fields) => log('info', event, fields),
    warn: (event, fields) => log('warn', event, fields),
    error: (event, fields) => log('error', event, fields),
  };
}
