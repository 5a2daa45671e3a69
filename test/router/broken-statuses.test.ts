/**
 * The contract of statuses that HTTP doesn't have: whatever the request, the framing, what stands in front of the answer and when it comes, the
 * attempt is broken and its connection carries nothing else.
 */
import { expect } from 'chai';
import { DEFAULT_HEADER_NAMES } from '../../src/model/header-names.js';
import type { UpstreamId } from '../../src/model/identifiers.js';
import type { RelayPeer } from '../../src/model/relay.js';
import { UpstreamPools } from '../../src/router/attempts/upstream-pools.js';
import { RelayDialer } from '../../src/router/relay/relay-dialer.js';
import { RelayServer } from '../../src/router/relay/relay-server.js';
import { LogRecorder } from './log-recorder.js';
import { RouterFixture } from './router-fixture.js';
import { ScriptedUpstream } from './scripted-upstream.js';
import { attemptOnce } from './single-attempt.js';
import { MOMENT, type Moment, SOUND_TARGET, type StatusPlay, StatusUpstream } from './status-upstream.js';

const AT_A_TIME = 8;
/** An attempt without a result by then waits for more: the upstream has written all that it will. */
const GIVE_UP_MILLIS = 1500;
const BODY = 'the whole sheet';
const ODD_ID = 'q-odd';
const REQUEST_ID = `${DEFAULT_HEADER_NAMES.requestId}: ${ODD_ID}`;
const REQUESTS = 12;
const MAX_CONNECTIONS_PER_REQUEST = 3;
const UPLOAD = Buffer.alloc(2000, 'x');
/** More than the buffers of a connection hold. */
const LARGE_UPLOAD = Buffer.alloc(4_000_000, 'x');

const STATUSES = [
  ...['000', '001', '042', '099', '600', '601', '666', '999'],
  ...['0', '1', '10', '20', '0200', '00200', '0421', '0503', '1000', '1001', '1234', '2000', '5030'],
  ...['abc', '2x0', '20x', '10x', '1x0', '-200', '+200', '-1', '2 00', ''],
];

const FRAMINGS: Readonly<
  Record<string, { readonly line: string; readonly body: string; readonly ends: boolean }>
> = {
  'a length': { line: `content-length: ${BODY.length}`, body: BODY, ends: false },
  'a length, closes': { line: `connection: close\r\ncontent-length: ${BODY.length}`, body: BODY, ends: true },
  'no body': { line: 'content-length: 0', body: '', ends: false },
  chunks: { line: 'transfer-encoding: chunked', body: `f\r\n${BODY}\r\n0\r\n\r\n`, ends: false },
  'no length': { line: 'connection: close', body: BODY, ends: true },
  'a sound answer behind it': { line: 'content-length: 0', body: soundAnswer(ODD_ID), ends: false },
};

/** What stands in front of an answer; behind those that aren't `sound` no answer follows. */
const FRONTS: Readonly<Record<string, { readonly text: string; readonly sound: boolean }>> = {
  nothing: { text: '', sound: true },
  'early hints': { text: 'HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n', sound: true },
  'the last interim status': { text: 'HTTP/1.1 199 Odd\r\n\r\n', sound: true },
  'an empty line': { text: '\r\n', sound: true },
  'early hints behind an empty line': { text: '\r\nHTTP/1.1 103 Early Hints\r\n\r\n', sound: true },
  'early hints between empty lines': {
    text: 'HTTP/1.1 103 Hi\r\n\r\n\r\nHTTP/1.1 103 Hi\r\n\r\n',
    sound: true,
  },
  'switched protocols': { text: 'HTTP/1.1 101 Switching Protocols\r\n\r\n', sound: false },
  'protocols switched to another': {
    text: 'HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n',
    sound: false,
  },
  'switched protocols behind an empty line': { text: '\r\nHTTP/1.1 101 Switching\r\n\r\n', sound: false },
  'early hints of another version': { text: 'HTTP/2.0 103 Early Hints\r\n\r\n', sound: false },
  'an interim status of four digits': { text: 'HTTP/1.1 1030 Odd\r\n\r\n', sound: false },
  'an interim status that ends in a letter': { text: 'HTTP/1.1 103x Odd\r\n\r\n', sound: false },
  'an interim status of two digits': { text: 'HTTP/1.1 10 Odd\r\n\r\n', sound: false },
  'the status 000': { text: 'HTTP/1.1 000 Odd\r\n\r\n', sound: false },
  'the status 099': { text: 'HTTP/1.1 099 Odd\r\n\r\n', sound: false },
};

/** What may become of a request whose answer is there first: it isn't sent, or the answer came behind it after all. */
const UNASKED_RESULTS = ['connect-failed', 'broken'];

const METHODS: Readonly<Record<string, Buffer>> = {
  GET: Buffer.alloc(0),
  HEAD: Buffer.alloc(0),
  POST: UPLOAD,
  PUT: Buffer.alloc(0),
};

/** A play, the request that gets it, and whether it is one that the attempt may take. */
interface Case extends StatusPlay {
  readonly name: string;
  readonly method: string;
  readonly body: Buffer;
  readonly isSound: boolean;
  /** Whether another answer came first over the connection. */
  readonly isSecond: boolean;
}

interface CaseParts {
  readonly status: string;
  readonly front?: string;
  readonly method?: string;
  readonly moment?: Moment;
  readonly body?: Buffer;
  readonly isSecond?: boolean;
}

/** The cases of a status, one for each framing. */
function casesOf({
  status,
  front = 'nothing',
  method = 'GET',
  moment = MOMENT.request,
  ...rest
}: CaseParts): Case[] {
  const { text, sound } = FRONTS[front] as { text: string; sound: boolean };
  const { body = METHODS[method] as Buffer, isSecond = false } = rest;
  return Object.entries(FRAMINGS)
    .filter(([framing]) => method !== 'HEAD' || status !== '200' || framing !== 'a sound answer behind it')
    .map(([framing, { line, body: content, ends }]) => ({
      name: `${JSON.stringify(status)} behind ${front}, ${framing}, to ${method}, ${moment}, ${isSecond ? 'second' : 'first'}`,
      answer: `${text}HTTP/1.1 ${status} Odd\r\n${REQUEST_ID}\r\n${line}\r\n\r\n${content}`,
      isSound: sound && status === '200',
      ...{ moment, ends, method, body, isSecond },
    }));
}

const FRONT_CASES = ['200', ...STATUSES].flatMap((status) =>
  Object.keys(FRONTS).flatMap((front) => casesOf({ status, front })),
);
const METHOD_CASES = STATUSES.flatMap((status) =>
  Object.keys(METHODS).flatMap((method) => casesOf({ status, method })),
);
const SECOND_CASES = STATUSES.flatMap((status) =>
  ['nothing', 'early hints'].flatMap((front) => casesOf({ status, front, isSecond: true })),
);
const EARLY_CASES = STATUSES.flatMap((status) => [
  ...casesOf({ status, method: 'POST', moment: MOMENT.head, body: LARGE_UPLOAD }),
  ...casesOf({ status, method: 'POST', moment: MOMENT.head, body: LARGE_UPLOAD, front: 'early hints' }),
]);
const UNASKED_CASES = STATUSES.flatMap((status) =>
  ['GET', 'HEAD', 'POST'].flatMap((method) =>
    ['nothing', 'early hints', 'an empty line'].flatMap((front) =>
      casesOf({ status, method, front, moment: MOMENT.connection }),
    ),
  ),
);

describe('an answer whose status HTTP does not have', function suite() {
  this.timeout(120_000);
  let upstreams: StatusUpstream[];
  let relay: RelayServer;
  let peer: RelayPeer;

  before(async () => {
    upstreams = await Promise.all(
      Array.from({ length: AT_A_TIME }, () => new StatusUpstream(soundAnswer).start()),
    );
    relay = await RelayServer.listen({
      listen: '127.0.0.1:0',
      identity: identityOf('r2'),
      log: new LogRecorder(),
      targetOf: (id, answer) => answer({ type: 'address', address: addressOf(id) }),
    });
    peer = { router: 'r2', zone: 'a', address: relay.address };
  });

  after(async () => {
    await relay.stop(0);
    for (const upstream of upstreams) {
      upstream.stop();
    }
  });

  function addressOf(id: UpstreamId): string {
    return (upstreams[Number(id)] as StatusUpstream).address;
  }

  /** Plays cases, and returns what was wrong with those that went otherwise than they should. */
  async function misjudged(cases: readonly Case[], via: RelayPeer | null): Promise<string[]> {
    const left = [...cases];
    const wrong: string[] = [];
    const work = async (upstream: StatusUpstream, index: number): Promise<void> => {
      for (let next = left.shift(); next !== undefined; next = left.shift()) {
        const fault = await faultOf(next, upstream, String(index), via);
        if (fault !== null) {
          wrong.push(`${fault}: ${next.name}`);
        }
      }
    };
    await Promise.all(upstreams.map(work));
    return wrong;
  }

  async function faultOf(
    { method, body, isSound, isSecond, ...play }: Case,
    upstream: StatusUpstream,
    id: UpstreamId,
    via: RelayPeer | null,
  ): Promise<string | null> {
    const pools = createPools();
    const client = pools.poolFor({ upstream: id, address: upstream.address, via });
    const sound = { target: SOUND_TARGET, method: 'GET', body: Buffer.alloc(0) };
    upstream.play = { ...play, moment: MOMENT.request };
    if (isSecond) {
      await attemptOnce(client, { id: 'q-first', ...sound });
    }
    upstream.play = play;
    const before = upstream.carriers.length;
    const result = await Promise.race([
      attemptOnce(client, { id: ODD_ID, target: '/odd', method, body }),
      givenUp(),
    ]);
    upstream.play = { ...play, moment: MOMENT.request };
    const follower = await Promise.race([attemptOnce(client, { id: 'q-next', ...sound }), givenUp()]);
    await pools.stop();
    const [carrier, ...others] = upstream.carriers.slice(before);
    const expected = isSound
      ? ['answered']
      : play.moment === MOMENT.connection
        ? UNASKED_RESULTS
        : ['broken'];
    if (!expected.includes(result.type)) {
      return result.type;
    }
    if (follower.type !== 'answered' || follower.status !== 200) {
      return `the next request was ${follower.type}`;
    }
    if (!isSound && carrier !== undefined && others.includes(carrier)) {
      return 'its connection carried another request';
    }
    return isSecond && carrier !== upstream.carriers[before - 1] ? 'came first over its connection' : null;
  }

  for (const path of ['direct', 'relayed']) {
    const via = (): RelayPeer | null => (path === 'direct' ? null : peer);

    // Guards against heads that nobody checks, since another one stands in front of them.
    it(`is broken behind whatever stands in front of it (${path})`, async () => {
      expect(await misjudged(FRONT_CASES, via())).to.deep.equal([]);
    });

    it(`is broken whatever the method (${path})`, async () => {
      expect(await misjudged(METHOD_CASES, via())).to.deep.equal([]);
    });

    it(`is broken as the second answer of its connection (${path})`, async () => {
      expect(await misjudged(SECOND_CASES, via())).to.deep.equal([]);
    });

    it(`is broken if its upstream hasn't read the request (${path})`, async () => {
      expect(await misjudged(EARLY_CASES, via())).to.deep.equal([]);
    });

    // Guards against heads that nobody checks, and against connections opened one after the other, for answers that come before a request.
    it(`is none if it comes before the request (${path})`, async () => {
      expect(await misjudged(UNASKED_CASES, via())).to.deep.equal([]);
    });
  }
});

describe('an upstream that speaks first', () => {
  // Guards against one connection after the other, each opened for a request that is never sent.
  it('is passed over for another one', async () => {
    const speaker = await new StatusUpstream(soundAnswer).start();
    speaker.play = {
      answer: 'HTTP/1.1 000 Odd\r\ncontent-length: 0\r\n\r\n',
      moment: MOMENT.connection,
      ends: true,
    };
    const other = await new ScriptedUpstream().start();
    const router = await RouterFixture.start([speaker, other], { log: new LogRecorder() });
    const requests = Array.from({ length: REQUESTS }, (_, index) => index);
    const [reads, orders] = await Promise.all([
      Promise.all(requests.map((index) => router.get(`/reads/${index}`))),
      Promise.all(requests.map((index) => router.order(`/orders/${index}`))),
    ]);
    expect(reads.map(({ status }) => status)).to.deep.equal(requests.map(() => 200));
    // An upstream that speaks late may do so behind an order, which then isn't repeated.
    expect(orders.filter(({ status }) => status !== 200 && status !== 502)).to.deep.equal([]);
    expect(speaker.connections).to.be.within(1, MAX_CONNECTIONS_PER_REQUEST * 2 * REQUESTS);
    await router.stop();
    await other.stop();
    speaker.stop();
  });
});

function soundAnswer(id: string): string {
  return `HTTP/1.1 200 OK\r\n${DEFAULT_HEADER_NAMES.requestId}: ${id}\r\ncontent-length: 5\r\n\r\nsound`;
}

function givenUp(): Promise<{ readonly type: 'still waiting' }> {
  return new Promise((resolve) => {
    setTimeout(() => resolve({ type: 'still waiting' }), GIVE_UP_MILLIS).unref();
  });
}

function createPools(): UpstreamPools {
  return new UpstreamPools({
    connectionsPerUpstream: 1,
    connectMillis: 5000,
    dialer: new RelayDialer({ identity: identityOf('r1'), onClosing: () => {} }),
    onClientFailed: () => {},
  });
}

function identityOf(router: string) {
  const greeting = { type: 'greeting', cluster: 'c', kind: 'router', name: router, zone: 'a' } as const;
  return { greeting, secret: 's', expects: ['router'] as const };
}
