/** Client of the control members for an operator: resends until there is a definite answer, and records requests and answers. */
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
import { RANGE_SERVICE } from '../ranges/sim-range-server.js';
import { SimProcess } from '../sim-process.js';
import { PORT_BASE } from '../upstream/sim-upstream.js';
import type { World } from '../world.js';

const TIMEOUT_MILLIS = 2500;
const RETRY_MILLIS = 60;
const MAX_TRIES = 12;
/** Share of answers that are lost, so that the operator resends the request. */
const LOST_ANSWER_SHARE = 0.12;
/** Share of changes that the operator resends although they were answered. */
const NEEDLESS_RESEND_SHARE = 0.15;
const RESEND_MILLIS = 1200;
const WAIT_SHARE = 0.4;
/** Queue limits encode the markers of service changes. */
export const QUEUE_LIMIT_BASE = 100;

export type OnOperatorResponse = (response: OperatorResponse) => void;

export abstract class OperatorClient extends SimProcess {
  /** Whether no answer is lost and no change waits until it is in force. */
  protected isCareful = false;

  constructor(
    protected readonly world: World,
    number: number,
  ) {
    super(`operator-${number}`, CLIENT_ZONE, world.time, world.makeClock(), world.makeRandom());
  }

  /** Requests a change. `expected`: the revision against which only one change may succeed. */
  protected change(
    command: OperatorCommand,
    value: ThingValue,
    done: OnOperatorResponse = () => {},
    expected = command.expected,
  ): void {
    const requestId = `change-${this.world.nextNumber()}`;
    const wait = this.random.chance(WAIT_SHARE) && !this.isCareful;
    const request: OperatorRequest = { type: 'command', requestId, actor: this.name, command, wait };
    const { recorder, time } = this.world;
    recorder.record({ type: 'change-asked', at: time.now, requestId, value, expected });
    const onChangeEnded = (response: OperatorResponse): void => {
      if (response.type === 'result') {
        recorder.count(`change ${response.result.type}${response.inForce ? ' in force' : ''}`);
      }
      if (this.random.chance(NEEDLESS_RESEND_SHARE)) {
        this.schedule(RESEND_MILLIS, () => this.ask(request, () => recorder.count('change resent')));
      }
      done(response);
    };
    this.ask(request, onChangeEnded);
  }

  /** Resends a request until it has a definite answer or the tries are used up. */
  ask(
    request: OperatorRequest,
    onResponse: OnOperatorResponse,
    tries = 0,
    hint: SimControl | null = null,
  ): void {
    const { world } = this;
    if (tries >= MAX_TRIES) {
      onResponse({ type: 'unknown' });
      return;
    }
    const control = hint ?? this.random.pick(world.controls);
    let isOver = false;
    const retry = (next: SimControl | null): void => {
      if (!isOver) {
        isOver = true;
        this.schedule(RETRY_MILLIS, () => this.ask(request, onResponse, tries + 1, next));
      }
    };
    this.schedule(TIMEOUT_MILLIS, () => retry(null));
    const askedAt = world.time.now;
    const handle = (response: OperatorResponse): void => {
      if (response.type === 'not-leader') {
        retry(world.controls.find(({ address }) => address === response.leader) ?? null);
      } else if (response.type === 'unknown' || response.type === 'rejected') {
        retry(null);
      } else if (!isOver) {
        isOver = true;
        const own = withoutRangeService(response);
        this.recordRead(askedAt, own);
        onResponse(own);
      }
    };
    world.network.sendDatagram(this, control, () =>
      control.operate(request, (response) => {
        this.recordAnswer(request, response);
        if (this.isCareful || !this.random.chance(LOST_ANSWER_SHARE)) {
          world.network.sendDatagram(control, this, () => handle(response));
        }
      }),
    );
  }

  private recordAnswer(request: OperatorRequest, response: OperatorResponse): void {
    if (request.type !== 'command' || response.type !== 'result') {
      return;
    }
    const { requestId } = request;
    const { result, inForce } = response;
    const { time, recorder } = this.world;
    recorder.record({ type: 'change-answered', at: time.now, requestId, ...outcomeOf(result), inForce });
  }

  private recordRead(askedAt: number, response: OperatorResponse): void {
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

/** Leaves out the service with ranges and its upstreams: they are declared and announce themselves, and their values have no markers. */
function withoutRangeService(response: OperatorResponse): OperatorResponse {
  switch (response.type) {
    case 'services': {
      const services = response.services.filter(({ definition }) => definition.name !== RANGE_SERVICE);
      return { ...response, services };
    }
    case 'upstreams': {
      const upstreams = response.upstreams.filter(({ definition }) => definition.service !== RANGE_SERVICE);
      return { ...response, upstreams };
    }
    default:
      return response;
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
