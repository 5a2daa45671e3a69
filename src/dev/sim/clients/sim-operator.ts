/** An operator: changes services and upstreams against what it read, races others, resends what wasn't answered, reads back. */
import type { OperatorRequest, OperatorResponse } from '../../../control/types.js';
import type { ServiceDefinition, UpstreamDefinition } from '../../../model/service.js';
import type {
  CommandResult,
  OperatorCommand,
  ServiceRecord,
  UpstreamRecord,
} from '../../../registry/types.js';
import type { ThingValue } from '../../checker/history.js';
import type { SimControl } from '../control/sim-control.js';
import { CLIENT_ZONE } from '../network.js';
import { SimProcess } from '../sim-process.js';
import { PORT_BASE, type SimUpstream } from '../upstream/sim-upstream.js';
import type { World } from '../world.js';

const THINK_MILLIS = 350;
const TIMEOUT_MILLIS = 2500;
const RETRY_MILLIS = 60;
const MOST_TRIES = 12;
/** Share of answers of the system that get lost, so that the operator sends again. */
const LOST_ANSWER_SHARE = 0.12;
/** Share of changes that the operator sends again although they were answered. */
const NEEDLESS_RESEND_SHARE = 0.15;
const RESEND_MILLIS = 1200;
/** Time between the changes of a burst. */
const BURST_MILLIS = 10;
const WAIT_SHARE = 0.4;
/** Queue limits carry the markers of changes of services. */
const QUEUE_LIMIT_BASE = 100;
/** Share of changes of a keyed service that map its keys anew. */
const REMAP_SHARE = 0.15;
/** Most upstreams of a service that are marked as leaving at once. */
const MOST_LEAVING = 1;

type Answered = (response: OperatorResponse) => void;

export class SimOperator extends SimProcess {
  /** While everything is declared for the first time, no answer gets lost and nobody waits. */
  private isDeclaring = false;
  /** Makes only changes that move no keys. */
  isQuiet = false;

  constructor(
    private readonly world: World,
    number: number,
  ) {
    super(`operator-${number}`, CLIENT_ZONE, world.time, world.makeClock(), world.makeRandom());
  }

  /** Declares everything that the deployment has, services first. */
  declare(): void {
    this.isDeclaring = true;
    let left = this.world.sizes.services.length;
    for (const { definition } of this.world.sizes.services) {
      this.applyService(definition, null, () => {
        left -= 1;
        if (left === 0) {
          this.declareUpstreams();
        }
      });
    }
  }

  private declareUpstreams(): void {
    let left = this.world.upstreams.length;
    for (const upstream of this.world.upstreams) {
      this.applyUpstream(upstream, false, null, () => {
        left -= 1;
        this.isDeclaring = left > 0;
      });
    }
  }

  /** Reads and changes the same service as the other operators do at this moment. */
  raceFor(service: string): void {
    this.ask({ type: 'get-services' }, (response) => {
      const records = response.type === 'services' ? response.services : [];
      const record = records.find(({ definition }) => definition.name === service);
      if (record !== undefined) {
        this.applyService(record.definition, record.revision);
      }
    });
  }

  /** Takes back every mark of leaving. */
  undrainAll(): void {
    this.ask({ type: 'get-upstreams' }, (response) => {
      const records = response.type === 'upstreams' ? response.upstreams : [];
      for (const { definition, revision } of records) {
        const upstream = this.world.upstreams.find(({ id }) => id === definition.id);
        if (definition.leaving && upstream !== undefined) {
          this.applyUpstream(upstream, false, revision);
        }
      }
    });
  }

  /** Makes `count` changes in a fast row. */
  burst(count: number): void {
    const ended = (): void => this.world.recorder.count('change of a burst');
    for (let number = 0; number < count; number += 1) {
      this.schedule(number * BURST_MILLIS, () => {
        const { definition } = this.random.pick(this.world.sizes.services);
        this.applyService(definition, null, ended);
      });
    }
  }

  protected onStart(): void {
    this.schedule(THINK_MILLIS, () => this.think());
  }

  protected onStop(): void {}

  private think(): void {
    this.schedule(this.random.exponential(THINK_MILLIS), () => this.think());
    this.ask({ type: this.random.chance(0.5) ? 'get-services' : 'get-upstreams' }, (response) =>
      this.changeWhatWasRead(response),
    );
  }

  private changeWhatWasRead(response: OperatorResponse): void {
    if (response.type === 'services' && response.services.length > 0) {
      const record = this.random.pick(response.services);
      this.applyService(this.altered(record), record.revision);
    }
    if (response.type === 'upstreams' && response.upstreams.length > 0) {
      this.toggleLeaving(response.upstreams);
    }
  }

  /** Now and then the keys are cut into another number of shards. */
  private altered({ definition }: ServiceRecord): ServiceDefinition {
    if (this.isQuiet || !definition.keyed || !this.random.chance(REMAP_SHARE)) {
      return definition;
    }
    const keyspaces = definition.keyspaces.map((keyspace) =>
      keyspace.kind === 'exact' ? keyspace : { ...keyspace, shards: this.random.integer(2, 5) },
    );
    return { ...definition, keyspaces };
  }

  private toggleLeaving(records: readonly UpstreamRecord[]): void {
    const record = this.random.pick(records);
    const { id, service, leaving } = record.definition;
    const peers = records.filter(({ definition }) => definition.service === service && definition.leaving);
    const upstream = this.world.upstreams.find((candidate) => candidate.id === id);
    if (upstream !== undefined && !this.isQuiet && (leaving || peers.length < MOST_LEAVING)) {
      this.applyUpstream(upstream, !leaving, record.revision);
    }
  }

  private applyService(definition: ServiceDefinition, expected: number | null, done?: () => void): void {
    const marker = this.world.nextMarker();
    const command: OperatorCommand = {
      type: 'service-apply',
      definition: { ...definition, queueLimit: QUEUE_LIMIT_BASE + marker },
      expected,
    };
    const thing = `service/${definition.name}`;
    this.change(command, { thing, marker: `#${marker}`, leaving: null, removed: false }, done);
  }

  applyUpstream(upstream: SimUpstream, leaving: boolean, expected: number | null, done?: () => void): void {
    const marker = this.world.nextMarker();
    const definition: UpstreamDefinition = {
      id: upstream.id,
      service: upstream.service.definition.name,
      address: upstream.address(marker),
      zone: upstream.zone,
      mayHold: [],
      leaving,
    };
    const thing = `upstream/${upstream.id}`;
    this.change(
      { type: 'upstream-apply', definition, expected },
      { thing, marker: `#${marker}`, leaving, removed: false },
      done,
    );
  }

  private change(command: OperatorCommand, value: ThingValue, done: () => void = () => {}): void {
    const requestId = `change-${this.world.nextNumber()}`;
    const wait = this.random.chance(WAIT_SHARE) && !this.isDeclaring;
    const request: OperatorRequest = { type: 'command', requestId, actor: this.name, command, wait };
    const { expected } = command;
    const { recorder, time } = this.world;
    recorder.record({ type: 'change-asked', at: time.now, requestId, value, expected });
    const ended = (response: OperatorResponse): void => {
      if (response.type === 'result') {
        recorder.count(`change ${response.result.type}${response.inForce ? ' in force' : ''}`);
      }
      if (this.random.chance(NEEDLESS_RESEND_SHARE)) {
        this.schedule(RESEND_MILLIS, () => this.ask(request, () => recorder.count('change resent')));
      }
      done();
    };
    this.ask(request, ended);
  }

  /** Sends a request until it has a definite answer. */
  ask(request: OperatorRequest, answered: Answered, tries = 0, hint: SimControl | null = null): void {
    const { world } = this;
    if (tries >= MOST_TRIES) {
      answered({ type: 'unknown' });
      return;
    }
    const control = hint ?? this.random.pick(world.controls);
    let isOver = false;
    const again = (next: SimControl | null): void => {
      if (!isOver) {
        isOver = true;
        this.schedule(RETRY_MILLIS, () => this.ask(request, answered, tries + 1, next));
      }
    };
    this.schedule(TIMEOUT_MILLIS, () => again(null));
    const askedAt = world.time.now;
    const take = (response: OperatorResponse): void => {
      if (response.type === 'not-leader') {
        again(world.controls.find(({ address }) => address === response.leader) ?? null);
      } else if (response.type === 'unknown' || response.type === 'rejected') {
        again(null);
      } else if (!isOver) {
        isOver = true;
        this.noteRead(askedAt, response);
        answered(response);
      }
    };
    world.network.sendDatagram(this, control, () =>
      control.operate(request, (response) => {
        this.noteAnswer(request, response);
        if (this.isDeclaring || !this.random.chance(LOST_ANSWER_SHARE)) {
          world.network.sendDatagram(control, this, () => take(response));
        }
      }),
    );
  }

  private noteAnswer(request: OperatorRequest, response: OperatorResponse): void {
    if (request.type !== 'command' || response.type !== 'result') {
      return;
    }
    const { requestId } = request;
    const { result, inForce } = response;
    const { time, recorder } = this.world;
    recorder.record({ type: 'change-answered', at: time.now, requestId, ...outcomeOf(result), inForce });
  }

  private noteRead(askedAt: number, response: OperatorResponse): void {
    if (response.type !== 'services' && response.type !== 'upstreams') {
      return;
    }
    const { time, recorder } = this.world;
    recorder.count('reads of the configuration');
    const kind = response.type === 'services' ? 'service' : 'upstream';
    const things =
      response.type === 'services'
        ? response.services.map(readService)
        : response.upstreams.map(readUpstream);
    recorder.record({ type: 'things-read', askedAt, at: time.now, kind, things });
  }
}

function outcomeOf(result: CommandResult) {
  switch (result.type) {
    case 'accepted':
      return { result: 'accepted', revision: result.revision } as const;
    case 'conflict':
      return { result: 'conflict', revision: result.current } as const;
    default:
      return { result: 'invalid', revision: 0 } as const;
  }
}

function readService({ definition, revision }: ServiceRecord) {
  return {
    thing: `service/${definition.name}`,
    marker: `#${definition.queueLimit - QUEUE_LIMIT_BASE}`,
    revision,
  };
}

function readUpstream({ definition, revision }: UpstreamRecord) {
  const port = Number(definition.address.split(':').at(-1));
  return { thing: `upstream/${definition.id}`, marker: `#${port - PORT_BASE}`, revision };
}
