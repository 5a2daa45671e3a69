/**
 * Checks whether runs live that routers take for ended. A router may be the only one that doesn't reach them; the address itself is asked, from here. Only the
 * leader asks.
 */

import type { RunName, UpstreamCrash } from '../model/crash-suspect.js';
import type { MonotonicMillis } from '../model/identifiers.js';
import { announcedRun, type UpstreamDefinition } from '../model/service.js';
import type { Registry } from '../registry/types.js';
import type { IdentityAnswer, IdentityQuestion, QuestionId } from './identity-question.js';

/** A run that answered isn't asked again for this long; routers repeat their reports meanwhile. */
const LIVES_MILLIS = 2000;

export interface AccusedRunsParts {
  readonly registry: () => Registry;
  readonly nextQuestion: () => QuestionId;
  /** Sends the question; `AccusedRuns.onAnswer` is called once with its result. */
  readonly ask: (question: IdentityQuestion) => void;
  readonly log: (event: string, fields: Readonly<Record<string, unknown>>) => void;
}

/** Called with the crashes of a run that doesn't live, as far as can be told. */
export type AcceptCrashes = (crashes: readonly UpstreamCrash[]) => void;

interface OpenQuestion {
  readonly run: RunName;
  readonly definition: UpstreamDefinition;
  readonly crashes: UpstreamCrash[];
  readonly accept: AcceptCrashes;
}

export class AccusedRuns {
  readonly #parts: AccusedRunsParts;
  readonly #open = new Map<QuestionId, OpenQuestion>();
  /** When runs answered that were accused. */
  readonly #livedAt = new Map<RunName, MonotonicMillis>();

  constructor(parts: AccusedRunsParts) {
    this.#parts = parts;
  }

  /** Calls `accept` with the crashes that stand; at once for runs that can't be asked. */
  examine(crashes: readonly UpstreamCrash[], now: MonotonicMillis, accept: AcceptCrashes): void {
    this.#forget(now);
    const beyondDoubt: UpstreamCrash[] = [];
    for (const crash of crashes) {
      const definition = this.#definitionOf(crash.run);
      if (definition === undefined) {
        beyondDoubt.push(crash);
      } else if (!this.#livedAt.has(crash.run)) {
        this.#ask(crash, definition, accept);
      }
    }
    if (beyondDoubt.length > 0) {
      accept(beyondDoubt);
    }
  }

  /** Handles the result of a question. */
  onAnswer(question: QuestionId, answer: IdentityAnswer, now: MonotonicMillis): void {
    const open = this.#open.get(question);
    this.#open.delete(question);
    if (open === undefined) {
      return;
    }
    const { run, definition, crashes, accept } = open;
    if (answer.type === 'named' && answer.upstream === definition.id) {
      this.#livedAt.set(run, now);
      const accused = new Set(crashes.map(({ fingerprint }) => fingerprint)).size;
      this.#parts.log('accused-run-lives', { run, address: definition.address, accused });
      return;
    }
    accept(crashes);
  }

  #ask(crash: UpstreamCrash, definition: UpstreamDefinition, accept: AcceptCrashes): void {
    const open = [...this.#open.values()].find(({ run }) => run === crash.run);
    if (open !== undefined) {
      open.crashes.push(crash);
      return;
    }
    const { id: claimant, address, service } = definition;
    const id = this.#parts.nextQuestion();
    const healthPath = this.#parts.registry().services().get(service)?.definition.healthPath ?? null;
    this.#open.set(id, { run: crash.run, definition, crashes: [crash], accept });
    this.#parts.ask({ id, address, claimant, healthPath });
  }

  /** The registered upstream whose id names the run; an upstream that keeps its id when it restarts can't be told from its next run. */
  #definitionOf(run: RunName): UpstreamDefinition | undefined {
    const definition = this.#parts.registry().upstreams().get(run)?.definition;
    const isNamedById = definition?.announced !== undefined && definition.announced.born === undefined;
    return isNamedById && announcedRun(definition) === run ? definition : undefined;
  }

  #forget(now: MonotonicMillis): void {
    for (const [run, at] of this.#livedAt) {
      if (now - at >= LIVES_MILLIS) {
        this.#livedAt.delete(run);
      }
    }
  }
}
