/** A process of a scale run, as seen by the run. */
import { type ChildProcess, fork } from 'node:child_process';
import { TernmountError } from '../../errors/ternmount-error.js';
import type { RemoteMethods, RoleName, WorkerReply } from './worker-calls.js';

const WORKER_ENTRY = new URL('./worker-main.js', import.meta.url);

/** A process of the run failed. */
export class WorkerFailedError extends TernmountError {
  constructor(role: string, problem: string) {
    super({ code: 'TERNMOUNT_SCALE_WORKER', retriable: false, info: { role } }, `${role}: ${problem}`);
  }
}

interface PendingCall {
  readonly resolve: (result: unknown) => void;
  readonly reject: (error: Error) => void;
}

export class WorkerProcess<Methods extends object> {
  readonly methods: RemoteMethods<Methods>;
  private readonly child: ChildProcess;
  private readonly pending = new Map<number, PendingCall>();
  private calls = 0;

  /** `flags` are passed to the process's Node.js, e.g. `--cpu-prof`. */
  constructor(
    readonly role: RoleName,
    flags: readonly string[] = [],
  ) {
    this.child = fork(WORKER_ENTRY, [role], { execArgv: [...process.execArgv, ...flags] });
    this.child.on('message', (reply: WorkerReply) => this.settle(reply));
    this.child.on('exit', (code) => this.ended(code));
    this.methods = new Proxy({} as RemoteMethods<Methods>, {
      get: (_target, method) => (argument: unknown) => this.call(String(method), argument),
    });
  }

  /** Ends the process; resolves when it has exited. */
  async stop(): Promise<void> {
    if (this.child.exitCode !== null) {
      return;
    }
    const exited = new Promise<void>((resolve) => this.child.once('exit', () => resolve()));
    this.child.disconnect();
    await exited;
  }

  private call(method: string, argument: unknown): Promise<unknown> {
    this.calls += 1;
    const call = this.calls;
    return new Promise((resolve, reject) => {
      this.pending.set(call, { resolve, reject });
      this.child.send({ call, method, argument: argument ?? null });
    });
  }

  private settle(reply: WorkerReply): void {
    const pending = this.pending.get(reply.call);
    this.pending.delete(reply.call);
    if ('error' in reply) {
      pending?.reject(new WorkerFailedError(this.role, reply.error));
    } else {
      pending?.resolve(reply.result);
    }
  }

  private ended(code: number | null): void {
    for (const { reject } of this.pending.values()) {
      reject(new WorkerFailedError(this.role, `ended with code ${code}`));
    }
    this.pending.clear();
  }
}
