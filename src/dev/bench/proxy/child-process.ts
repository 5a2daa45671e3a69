/** A child process of the bench. It exits with the bench, when its channel closes. */
import { type ChildProcess, fork } from 'node:child_process';
import { TernmountError } from '../../../errors/ternmount-error.js';
import type { Address } from '../../../model/identifiers.js';
import type { BenchAnswer, BenchRequest, ChildTask, ProcessUsage } from './child-messages.js';
import type { LoadResult, LoadRun } from './load-run.js';

const ENTRY = new URL('./child.js', import.meta.url);

/** Thrown when a child process of the bench exits unexpectedly. */
export class BenchProcessError extends TernmountError {
  constructor(kind: string) {
    const options = { code: 'TERNMOUNT_BENCH_PROCESS_ENDED', retriable: false, info: { kind } };
    super(options, `the ${kind} process of the bench exited unexpectedly`);
  }
}

export class BenchChild {
  private constructor(
    private readonly child: ChildProcess,
    private readonly kind: string,
    /** Addresses on which the process listens. */
    readonly addresses: readonly Address[],
  ) {}

  /** Starts a process and waits until it is ready. `nodeOptions` are passed to its Node, for example to profile it. */
  static async start(task: ChildTask, nodeOptions: readonly string[] = []): Promise<BenchChild> {
    const child = fork(ENTRY, [JSON.stringify(task)], { execArgv: [...nodeOptions] });
    const ready = await nextAnswer(child, task.kind, 'ready');
    return new BenchChild(child, task.kind, ready.addresses);
  }

  async usage(): Promise<ProcessUsage> {
    this.send({ type: 'usage' });
    return (await nextAnswer(this.child, this.kind, 'usage')).usage;
  }

  async load(run: LoadRun): Promise<LoadResult> {
    this.send({ type: 'load', run });
    return (await nextAnswer(this.child, this.kind, 'load')).result;
  }

  /** Closes the channel and waits for the process to exit. */
  async stop(): Promise<void> {
    const exited = new Promise<void>((resolve) => this.child.once('exit', () => resolve()));
    this.child.disconnect();
    await exited;
  }

  private send(request: BenchRequest): void {
    this.child.send(request);
  }
}

function nextAnswer<Type extends BenchAnswer['type']>(
  child: ChildProcess,
  kind: string,
  type: Type,
): Promise<Extract<BenchAnswer, { type: Type }>> {
  return new Promise((resolve, reject) => {
    const onExit = (): void => reject(new BenchProcessError(kind));
    const onMessage = (answer: BenchAnswer): void => {
      if (answer.type === type) {
        child.off('exit', onExit);
        child.off('message', onMessage);
        resolve(answer as Extract<BenchAnswer, { type: Type }>);
      }
    };
    child.on('message', onMessage);
    child.once('exit', onExit);
  });
}
