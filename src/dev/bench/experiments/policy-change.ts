/** Changes a policy under load and measures when it is in force on all routers and how callers are affected. */
import type { PolicyRule, ServiceDefinition } from '../../../model/service.js';
import { type Arm, type Reading, reading, runArms, target, targetForAll, valuesOf } from '../arms.js';
import type { Experiment, ExperimentContext, ExperimentResult } from '../experiment.js';
import {
  finish,
  keyedService,
  type LoadedWorld,
  outcomeReadings,
  startLoadedWorld,
} from '../models/loaded-world.js';
import { quantile } from '../statistics.js';

const LOAD_MILLIS = 6000;
const CHANGES = 10;
const BETWEEN_MILLIS = 300;
const IN_FORCE_LIMIT_MILLIS = 3000;
const WAIT_LIMIT_MILLIS = 10_000;
const RETURNS = 5;
const PERCENT = 100;

const UNCHANGED = 'no change';
const CHANGED = 'ten changes';
const CUT = 'ten changes, a zone cut off';
const ANSWERED = 'accepted and in force, p50';
const APPLIED = 'on all routers, p50';
const LONGEST = 'accepted and in force, longest';

function ruleNumber(number: number): PolicyRule {
  return { name: `rule-${number}`, when: `queue.length > ${1000 + number}`, action: 'refuse' };
}

interface ChangeTimes {
  /** Milliseconds until the last serving router held the new policy. */
  readonly applied: number;
  /** Milliseconds until the operator's command was answered. */
  readonly answered: number;
}

/** Whether every router holds the change or isn't serving. */
function isOnAllRouters({ world }: LoadedWorld, definition: ServiceDefinition): boolean {
  const [rule] = definition.policy;
  return world.routers.every((router) => {
    const held = router.view.service(definition.name)?.definition.policy[0];
    return !router.serving || held?.name === rule?.name;
  });
}

function changePolicy(loaded: LoadedWorld, definition: ServiceDefinition): ChangeTimes {
  const { world } = loaded;
  const startedAt = world.now;
  let answeredAt: number | undefined;
  let appliedAt: number | undefined;
  world.control.command({ type: 'service-apply', definition, expected: null }, true, () => {
    answeredAt = world.now;
  });
  world.runUntil(
    () => {
      appliedAt ??= isOnAllRouters(loaded, definition) ? world.now : undefined;
      return answeredAt !== undefined && appliedAt !== undefined;
    },
    WAIT_LIMIT_MILLIS,
    1,
  );
  return {
    applied: (appliedAt ?? world.now) - startedAt,
    answered: (answeredAt ?? world.now) - startedAt,
  };
}

function changeReadings(times: readonly ChangeTimes[]): Reading[] {
  if (times.length === 0) {
    return [];
  }
  const applied = times.map((time) => time.applied);
  const answered = times.map((time) => time.answered);
  return [
    reading(APPLIED, 'ms', quantile(applied, 0.5)),
    reading('on all routers, longest', 'ms', Math.max(...applied)),
    reading(ANSWERED, 'ms', quantile(answered, 0.5)),
    reading(LONGEST, 'ms', Math.max(...answered)),
    reading(
      'in force when answered',
      '%',
      (times.filter((time) => time.applied <= time.answered).length / times.length) * PERCENT,
    ),
  ];
}

function cutZone({ world }: LoadedWorld): void {
  const leaderZone = world.control.leader()?.zone;
  const zone = world.options.zones.find((candidate) => candidate !== leaderZone);
  if (zone !== undefined) {
    world.network.cut(zone);
  }
}

function run(context: ExperimentContext, seed: number, changes: number, withZoneCut: boolean): Reading[] {
  const { deployment } = context;
  const service = keyedService(deployment);
  const options = { watched: service.name, loadMillis: LOAD_MILLIS, returns: RETURNS };
  const loaded = startLoadedWorld(deployment, seed, options);
  if (withZoneCut) {
    cutZone(loaded);
  }
  const times: ChangeTimes[] = [];
  for (let number = 1; number <= changes; number += 1) {
    times.push(changePolicy(loaded, { ...service, policy: [ruleNumber(number)] }));
    loaded.world.run(BETWEEN_MILLIS);
  }
  finish(loaded);
  loaded.probe.stop();
  const { tally, probe } = loaded;
  return [
    ...changeReadings(times),
    reading(`${service.name} good share`, '%', tally.goodShare(service.name) * PERCENT),
    reading(`${service.name} p50`, 'ms', tally.latency(service.name, 0.5)),
    reading(`${service.name} p99`, 'ms', tally.latency(service.name, 0.99)),
    reading('unavailable', 'key-s', probe.unavailableKeySeconds),
    ...outcomeReadings(tally, [service.name]),
  ];
}

function runExperiment(context: ExperimentContext): ExperimentResult {
  const arm = (name: string, changes: number, withZoneCut = false): Arm => ({
    name,
    baseline: name === UNCHANGED,
    run: (seed) => run(context, seed, changes, withZoneCut),
  });
  const arms = runArms(context, [arm(UNCHANGED, 0), arm(CHANGED, CHANGES), arm(CUT, CHANGES, true)]);
  const { name } = keyedService(context.deployment);
  return {
    arms,
    targets: [
      target(
        'a change is in force everywhere, longest of ten',
        valuesOf(arms, CHANGED, LONGEST),
        '<=',
        IN_FORCE_LIMIT_MILLIS,
        'ms',
      ),
      target('the same with a zone cut off', valuesOf(arms, CUT, LONGEST), '<=', IN_FORCE_LIMIT_MILLIS, 'ms'),
      target(
        `${name} good share while changing`,
        valuesOf(arms, CHANGED, `${name} good share`),
        '>=',
        99,
        '%',
      ),
      targetForAll('unknown while changing', valuesOf(arms, CHANGED, 'unknown'), 0),
    ],
    notes: [
      `Virtual time; load of the rush; ${CHANGES} changes of the policy of the first keyed service, each sent once the previous one is answered.`,
      'The operator waits for the answer that the change is in force on every router (the default).',
      'A router that holds no valid configuration serves nothing and counts as changed.',
    ],
  };
}

export const experiment: Experiment = {
  name: 'policy-change',
  summary: 'policies change under load: time until in force on all routers, and the effect on callers',
  defaultDeployment: 'colombo',
  run: runExperiment,
};
