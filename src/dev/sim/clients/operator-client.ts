/** How an operator's program talks to the control members: resends until there is a definite answer, and records it all. */
import type { OperatorRequest, OperatorResponse } from '../../../control/types.js';
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
import { PORT_BASE } from '../upstream/sim-upstream.js';
import type { World } from '../world.js';

const TIMEOUT_MILLIS = 2500;
const RETRY_MILLIS = 60;
const MOST_TRIES = 12;
/** Share of answers of the system that get lost, so that the operator sends again. */
const LOST_ANSWER_SHARE = 0.12;
/** Share of changes that the operator sends again although they were answered. */
const NEEDLESS_RESEND_SHARE = 0.15;
const RESEND_MILLIS = 1200;
const WAIT_SHARE = 0.4;
/** Queue limits carry the markers of changes of services. */
export const QUEUE_LIMIT_BASE = 100;

export type Answered = (response: OperatorResponse) => void;

export abstract class OperatorClient extends SimProcess {
  /** No answer gets lost, and nobody waits until a change is in force. */
  protected isCareful = false;

  constructor(
    protected readonly world: World,
    number: number,
  ) {
    super(`operator-${number}`, CLIENT_ZONE, world.time, world.makeClock(), world.makeRandom());
  }

  /** Asks for a change. `expected`: the revision against which only one change may win. */
  protected change(
    command: OperatorCommand,
    value: ThingValue,
    done: () => void = () => {},
    expected = command.expected,
  ): void {
    const requestId = `change-${this.world.nextNumber()}`;
    const wait = this.random.chance(WAIT_SHARE) && !this.isCareful;
    const request: OperatorRequest = { type: 'command', requestId, actor: this.name, command, wait };
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
        if (this.isCareful || !this.random.chance(LOST_ANSWER_SHARE)) {
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
