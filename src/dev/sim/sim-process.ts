/** Base class of all simulated processes: they run, pause while tasks queue up, crash and restart. */

import type { CancelAction, EventQueue } from '../virtual/event-queue.js';
import type { Connection } from './connection.js';
import type { ProcessClock } from './process-clock.js';
import type { Random } from './random.js';

export type ProcessState = 'running' | 'paused' | 'stopped';

/** Maximum extra delay of a task that queued up while a process was paused. */
const MAX_RESUME_DELAY_MILLIS = 300;
/** Share of queued tasks that are delayed further after a resume, as other threads and sockets may be served first. */
const RESUME_DELAY_SHARE = 0.25;

export abstract class SimProcess {
  /** Open connections of this run. */
  readonly connections = new Set<Connection>();
  private processState: ProcessState = 'stopped';
  private runNumber = 0;
  private uninterruptedSince = 0;
  private backlog: { readonly task: () => void; readonly ordered: boolean }[] = [];

  constructor(
    readonly name: string,
    readonly zone: string,
    readonly time: EventQueue,
    readonly clock: ProcessClock,
    protected readonly random: Random,
  ) {}

  get state(): ProcessState {
    return this.processState;
  }

  /** Number of the current run; each restart begins a new run. */
  get run(): number {
    return this.runNumber;
  }

  /** Whether the process has run without a pause or a stop since a true time. */
  hasRunSince(time: number): boolean {
    return this.processState === 'running' && this.uninterruptedSince < time;
  }

  /** True time since which the process has run without a pause; infinity while it doesn't run. */
  get runningSince(): number {
    return this.processState === 'running' ? this.uninterruptedSince : Number.POSITIVE_INFINITY;
  }

  /** Starts a new run. */
  start(): void {
    if (this.processState !== 'stopped') {
      return;
    }
    this.runNumber += 1;
    this.processState = 'running';
    this.uninterruptedSince = this.time.now;
    this.backlog = [];
    this.onStart();
  }

  /** Ends the run at once and loses its memory. `silent`: the whole machine is lost, so no connection is closed. */
  crash(silent = false): void {
    if (this.processState === 'stopped') {
      return;
    }
    this.processState = 'stopped';
    this.backlog = [];
    const open = [...this.connections];
    this.connections.clear();
    for (const connection of silent ? [] : open) {
      connection.close(this);
    }
    this.onStop();
  }

  /** Pauses the process without ending it (SIGSTOP, a long garbage collection, a stalled machine). */
  pause(): void {
    if (this.processState === 'running') {
      this.processState = 'paused';
    }
  }

  /** Suspends the machine: pauses the process and stops its monotonic clock. */
  suspend(): void {
    this.pause();
    if (this.processState === 'paused') {
      this.clock.suspend();
    }
  }

  /** Resumes the process and runs the queued tasks, some of them late and out of order. */
  resume(): void {
    this.clock.resume();
    if (this.processState !== 'paused') {
      return;
    }
    this.processState = 'running';
    this.uninterruptedSince = this.time.now;
    const { backlog } = this;
    this.backlog = [];
    for (const { task, ordered } of backlog) {
      const late = !ordered && this.random.chance(RESUME_DELAY_SHARE);
      this.schedule(late ? this.random.between(0, MAX_RESUME_DELAY_MILLIS) : 0, task, ordered);
    }
  }

  /** Runs a task now, queues it while the process is paused, drops it if stopped. `ordered` tasks are never reordered. */
  post(task: () => void, ordered = false): void {
    if (this.processState === 'running') {
      task();
    } else if (this.processState === 'paused') {
      this.backlog.push({ task, ordered });
    }
  }

  /** Runs a task in this run of the process after a delay in true time. */
  schedule(delay: number, task: () => void, ordered = false): CancelAction {
    const run = this.runNumber;
    return this.time.after(delay, () => {
      if (this.runNumber === run) {
        this.post(task, ordered);
      }
    });
  }

  protected abstract onStart(): void;
  protected abstract onStop(): void;
}

/** Keeps one `tick` scheduled at the core's next deadline. */
export class TickTimer {
  private cancel: CancelAction | undefined;
  private due = Number.NaN;

  constructor(
    private readonly process: SimProcess,
    private readonly tick: () => void,
  ) {}

  /** Reschedules the tick; called after each step with the core's `nextDeadline()`. */
  arm(deadline: number): void {
    if (deadline === this.due) {
      return;
    }
    this.cancel?.();
    this.cancel = undefined;
    this.due = deadline;
    if (!Number.isFinite(deadline)) {
      return;
    }
    const { time, clock } = this.process;
    const at = Math.max(clock.trueTime(deadline), time.now + MIN_TICK_INTERVAL_MILLIS);
    this.cancel = this.process.schedule(at - time.now, () => {
      this.due = Number.NaN;
      this.tick();
    });
  }
}

/** Minimum interval between ticks of one process, so that a core that is always due can't stop time. */
const MIN_TICK_INTERVAL_MILLIS = 0.05;
