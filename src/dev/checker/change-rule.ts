/**
 * Operators' changes: every later read contains an accepted change unless a later one replaced it, each change is
 * applied at most once, a race has one winner, and a rejected change is never applied.
 */
import type { ChangeAnswered, ChangeRequested, HistoryEvent, ThingsRead } from './history.js';
import { NO_VIOLATIONS, type Rule, type Violation } from './rule.js';

interface Change {
  readonly requestId: string;
  readonly thing: string;
  readonly marker: string;
  readonly removed: boolean;
  readonly expected: number | null;
  answer: ChangeAnswered | null;
  /** Revision at which a read contained its marker. */
  seenAt: number | null;
}

/** A revision that every read requested later than `since` must have reached. */
interface Floor {
  readonly since: number;
  readonly revision: number;
}

interface ThingFacts {
  readonly changes: Change[];
  readonly floors: Floor[];
}

export class ChangeRule implements Rule {
  private readonly changes = new Map<string, Change>();
  private readonly byMarker = new Map<string, Change>();
  private readonly things = new Map<string, ThingFacts>();

  check(event: HistoryEvent): readonly Violation[] {
    switch (event.type) {
      case 'change-asked':
        return this.recordRequest(event);
      case 'change-answered':
        return this.checkAnswer(event);
      case 'things-read':
        return this.checkRead(event);
      default:
        return NO_VIOLATIONS;
    }
  }

  finish(): readonly Violation[] {
    return NO_VIOLATIONS;
  }

  private recordRequest(event: ChangeRequested): readonly Violation[] {
    if (this.changes.has(event.requestId)) {
      return NO_VIOLATIONS;
    }
    const { thing, marker, removed } = event.value;
    const change: Change = {
      requestId: event.requestId,
      thing,
      marker,
      removed,
      expected: event.expected,
      answer: null,
      seenAt: null,
    };
    this.changes.set(event.requestId, change);
    this.byMarker.set(marker, change);
    this.factsOf(thing).changes.push(change);
    return NO_VIOLATIONS;
  }

  private checkAnswer(event: ChangeAnswered): readonly Violation[] {
    const change = this.changes.get(event.requestId);
    if (change === undefined) {
      return violation(event.at, `${event.requestId} was answered but never requested`);
    }
    const first = change.answer;
    change.answer ??= event;
    if (first !== null) {
      return sameOutcome(first, event)
        ? NO_VIOLATIONS
        : violation(event.at, `${event.requestId} was answered ${describe(first)}, then ${describe(event)}`);
    }
    if (event.result !== 'accepted') {
      return change.seenAt === null
        ? NO_VIOLATIONS
        : violation(event.at, `${event.requestId} was answered ${describe(event)} but is applied`);
    }
    return this.checkAccepted(change, event);
  }

  private checkAccepted(change: Change, event: ChangeAnswered): readonly Violation[] {
    const facts = this.factsOf(change.thing);
    const violations: Violation[] = [];
    for (const other of facts.changes) {
      if (other === change || other.answer?.result !== 'accepted') {
        continue;
      }
      if (other.answer.revision === event.revision) {
        violations.push(
          ...violation(event.at, `${change.requestId} and ${other.requestId} have the same revision`),
        );
      }
      const isSameExpected = change.expected !== null && change.expected === other.expected;
      if (isSameExpected && !mayBeRemovedBetween(facts, event.revision, other.answer.revision)) {
        const message = `${change.requestId} and ${other.requestId} were both accepted against revision ${change.expected}`;
        violations.push(...violation(event.at, message));
      }
    }
    if (change.seenAt !== null && change.seenAt !== event.revision) {
      const message = `${change.requestId} was accepted at ${event.revision} but seen at ${change.seenAt}`;
      violations.push(...violation(event.at, message));
    }
    facts.floors.push({ since: event.at, revision: event.revision });
    return violations;
  }

  private checkRead(event: ThingsRead): readonly Violation[] {
    const violations: Violation[] = [];
    const present = new Set<string>();
    for (const { thing, marker, revision } of event.things) {
      present.add(thing);
      violations.push(...this.checkValue(event, thing, marker, revision));
    }
    for (const [thing, facts] of this.things) {
      if (thing.startsWith(`${event.kind}/`) && !present.has(thing)) {
        violations.push(...checkAbsence(event, thing, facts));
      }
    }
    return violations;
  }

  private checkValue(
    event: ThingsRead,
    thing: string,
    marker: string,
    revision: number,
  ): readonly Violation[] {
    const change = this.byMarker.get(marker);
    if (change === undefined || change.thing !== thing) {
      return violation(event.at, `${thing} has the value ${marker}, which no change requested`);
    }
    const violations: Violation[] = [];
    const { answer } = change;
    if (answer !== null && answer.result !== 'accepted') {
      violations.push(
        ...violation(event.at, `${change.requestId}, answered ${describe(answer)}, is applied`),
      );
    }
    const expected = answer?.result === 'accepted' ? answer.revision : (change.seenAt ?? revision);
    if (expected !== revision) {
      const message = `${change.requestId} is applied at ${revision} and at ${expected}`;
      violations.push(...violation(event.at, message));
    }
    change.seenAt = revision;
    const facts = this.factsOf(thing);
    const floor = floorAt(facts, event.askedAt);
    if (revision < floor) {
      const message = `${thing}: a read shows revision ${revision}, after ${floor} was acknowledged`;
      violations.push(...violation(event.at, message));
    }
    facts.floors.push({ since: event.at, revision });
    return violations;
  }

  private factsOf(thing: string): ThingFacts {
    let facts = this.things.get(thing);
    if (facts === undefined) {
      facts = { changes: [], floors: [] };
      this.things.set(thing, facts);
    }
    return facts;
  }
}

/** Whether the thing may have been removed between two revisions, so that both changes could expect it to be missing. */
function mayBeRemovedBetween(facts: ThingFacts, one: number, other: number): boolean {
  const [low, high] = one < other ? [one, other] : [other, one];
  const isBetween = ({ result, revision }: ChangeAnswered): boolean =>
    result === 'accepted' && revision > low && revision < high;
  return facts.changes.some(({ removed, answer }) => removed && (answer === null || isBetween(answer)));
}

/** A thing may be missing only if it may have been removed after the last acknowledged value. */
function checkAbsence(event: ThingsRead, thing: string, facts: ThingFacts): readonly Violation[] {
  const floor = floorAt(facts, event.askedAt);
  const removable = facts.changes.some(
    (change) => change.removed && (change.answer === null || change.answer.revision >= floor),
  );
  return floor === 0 || removable
    ? NO_VIOLATIONS
    : violation(event.at, `${thing} is missing, though ${floor} was acknowledged`);
}

function floorAt(facts: ThingFacts, askedAt: number): number {
  let floor = 0;
  for (const { since, revision } of facts.floors) {
    if (since < askedAt) {
      floor = Math.max(floor, revision);
    }
  }
  return floor;
}

function sameOutcome(first: ChangeAnswered, second: ChangeAnswered): boolean {
  return first.result === second.result && (first.result === 'invalid' || first.revision === second.revision);
}

function describe(answer: ChangeAnswered): string {
  return `${answer.result} (${answer.revision})`;
}

function violation(at: number, message: string): readonly Violation[] {
  return [{ promise: 'acknowledged-survives', at, message }];
}
