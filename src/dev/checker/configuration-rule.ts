/**
 * Accepted configuration is in force: no router uses an older revision once an operator received the confirmation (or
 * soon after an acceptance without one), none goes back to one, and none sends requests to a server that an accepted
 * change marks as leaving.
 */
import type {
  ChangeAnswered,
  ChangeRequested,
  HistoryEvent,
  RequestDispatched,
  RouterRevision,
} from './history.js';
import { NO_VIOLATIONS, type Rule, type Violation } from './rule.js';

/** Time within which an accepted change is in force everywhere, also without a request that waits for it. */
export const IN_FORCE_MILLIS = 3000;
/** Time after which a server that an accepted change marks as leaving receives no new requests. */
export const LEAVING_MILLIS = 2000;

interface Requirement {
  readonly from: number;
  readonly revision: number;
}

interface LeavingChange {
  readonly requestId: string;
  readonly leaving: boolean;
  answer: ChangeAnswered | null;
}

export class ConfigurationRule implements Rule {
  /** Ascending by revision; later requirements imply earlier ones. */
  private requirements: Requirement[] = [];
  private readonly routers = new Map<string, number>();
  private readonly upstreams = new Map<string, LeavingChange[]>();
  private readonly asked = new Map<string, LeavingChange>();

  check(event: HistoryEvent): readonly Violation[] {
    switch (event.type) {
      case 'change-asked':
        return this.recordRequest(event);
      case 'change-answered':
        return this.recordAnswer(event);
      case 'router-revision':
        return this.checkRevision(event);
      case 'request-dispatched':
        return [...this.checkDispatch(event), ...this.checkLeaving(event)];
      default:
        return NO_VIOLATIONS;
    }
  }

  finish(): readonly Violation[] {
    return NO_VIOLATIONS;
  }

  private recordRequest(event: ChangeRequested): readonly Violation[] {
    const { thing, leaving, removed } = event.value;
    if (this.asked.has(event.requestId) || leaving === null) {
      return NO_VIOLATIONS;
    }
    const change: LeavingChange = { requestId: event.requestId, leaving: leaving || removed, answer: null };
    this.asked.set(event.requestId, change);
    const changes = this.upstreams.get(thing) ?? [];
    changes.push(change);
    this.upstreams.set(thing, changes);
    return NO_VIOLATIONS;
  }

  private recordAnswer(event: ChangeAnswered): readonly Violation[] {
    const change = this.asked.get(event.requestId);
    if (change !== undefined) {
      change.answer ??= event;
    }
    if (event.result === 'accepted') {
      const from = event.at + (event.inForce ? 0 : IN_FORCE_MILLIS);
      this.requirements.push({ from, revision: event.revision });
    }
    return NO_VIOLATIONS;
  }

  private checkRevision(event: RouterRevision): readonly Violation[] {
    const last = this.routers.get(event.router) ?? 0;
    this.routers.set(event.router, event.revision);
    if (event.revision >= last) {
      return NO_VIOLATIONS;
    }
    const message = `${event.router} went back from revision ${last} to ${event.revision}`;
    return [{ promise: 'accepted-in-force', at: event.at, message }];
  }

  private checkDispatch(event: RequestDispatched): readonly Violation[] {
    let required = 0;
    for (const requirement of this.requirements) {
      if (requirement.from < event.at) {
        required = Math.max(required, requirement.revision);
      }
    }
    this.requirements = this.requirements.filter(
      ({ from, revision }) => revision >= required || from >= event.at,
    );
    if (event.revision >= required) {
      return NO_VIOLATIONS;
    }
    const message = `${event.router} sent ${event.send} by revision ${event.revision}, though ${required} is in force`;
    return [{ promise: 'accepted-in-force', at: event.at, message }];
  }

  private checkLeaving(event: RequestDispatched): readonly Violation[] {
    const changes = this.upstreams.get(`upstream/${event.upstream}`) ?? [];
    let latest: LeavingChange | undefined;
    for (const change of changes) {
      const revision = change.answer?.result === 'accepted' ? change.answer.revision : 0;
      if (revision > 0 && revision > (latest?.answer?.revision ?? 0)) {
        latest = change;
      }
    }
    const answer = latest?.answer;
    if (!latest?.leaving || answer === null || answer === undefined) {
      return NO_VIOLATIONS;
    }
    const mayHaveReturned = changes.some((change) => !change.leaving && change.answer === null);
    if (mayHaveReturned || event.at <= answer.at + LEAVING_MILLIS) {
      return NO_VIOLATIONS;
    }
    const late = Math.round(event.at - answer.at);
    const message = `${event.router} sent ${event.send} to ${event.upstream} ${late} ms after it was marked as leaving`;
    return [{ promise: 'leaving-gets-no-work', at: event.at, message }];
  }
}
