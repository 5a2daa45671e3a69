/** Attempts whose upstreams end their connections at any byte of an answer's head, or of what frames its body, over real sockets. */
import { expect } from 'chai';
import { DEFAULT_HEADER_NAMES } from '../../src/model/header-names.js';
import type { RelayPeer } from '../../src/model/relay.js';
import { UpstreamPools } from '../../src/router/attempts/upstream-pools.js';
import { RelayDialer } from '../../src/router/relay/relay-dialer.js';
import { RelayServer } from '../../src/router/relay/relay-server.js';
import type { AttemptResult } from '../../src/routing/types.js';
import { type CutAnswer, CutUpstream, ENDINGS, WHOLE_TARGET, type WRITINGS } from './cut-upstream.js';
import { LogRecorder } from './log-recorder.js';
import { RouterFixture } from './router-fixture.js';
import { headFor, ScriptedUpstream } from './scripted-upstream.js';
import { attemptOnce } from './single-attempt.js';

const AT_A_TIME = 32;
/** More than the buffers of a connection hold. */
const UNREAD_BODY = Buffer.alloc(8 * 1024 * 1024);
const ID = `${DEFAULT_HEADER_NAMES.requestId}: q-1`;
/** Behind `HTTP/1.1 200 OK`, within the name and the value of a line, and before the last line feed. */
const SECOND_ATTEMPT_CUTS = [15, 17, 30, 60, -1];
const BODY = 'the whole sheet';
const CHUNKED_BODY = `${BODY.length.toString(16)}\r\n${BODY}\r\n0\r\nx-checked: yes\r\n\r\n`;

/** An answer, by the lines of its heads. */
interface Framing {
  readonly name: string;
  readonly lines: readonly string[];
  readonly body: string;
  readonly method?: 'GET' | 'HEAD';
  readonly lineEnd?: string;
  /** Whether the end of the connection is the end of the answer, so that only its head can be cut. */
  readonly endsWithConnection?: boolean;
}

const LENGTH = `content-length: ${BODY.length}`;
const CHUNKS = 'transfer-encoding: chunked';
const OK = 'HTTP/1.1 200 OK';

const FRAMINGS: readonly Framing[] = [
  { name: 'length first', lines: [OK, LENGTH, ID, 'server: s'], body: BODY },
  { name: 'length last', lines: [OK, ID, 'content-length: 00015'], body: BODY },
  { name: 'length 0', lines: [OK, ID, 'content-length: 0'], body: '' },
  { name: 'chunks and a trailer', lines: [OK, ID, CHUNKS], body: CHUNKED_BODY },
  { name: 'no length', lines: [OK, ID, 'connection: close'], body: BODY, endsWithConnection: true },
  { name: 'HTTP/1.0, no length', lines: ['HTTP/1.0 200 OK', ID], body: BODY, endsWithConnection: true },
  { name: 'HTTP/1.0, length', lines: ['HTTP/1.0 200 OK', ID, LENGTH], body: BODY },
  { name: 'length, closes', lines: [OK, ID, 'connection: close', LENGTH], body: BODY },
  { name: 'no content', lines: ['HTTP/1.1 204 No Content', ID], body: '' },
  { name: 'not modified', lines: ['HTTP/1.1 304 Not Modified', ID, LENGTH], body: '' },
  { name: 'HEAD', lines: [OK, ID, LENGTH], body: '', method: 'HEAD' },
  { name: 'HEAD, no length', lines: [OK, ID], body: '', method: 'HEAD' },
  {
    name: 'behind early hints',
    lines: ['HTTP/1.1 103 Early Hints', 'link: </a>', '', OK, ID, LENGTH],
    body: BODY,
  },
];

/** Framings of which only cut answers are played. */
const LINE_FEEDS: Framing = { name: 'bare line feeds', lines: [OK, ID, LENGTH], body: BODY, lineEnd: '\n' };
const FEW_FRAMINGS = FRAMINGS.filter(({ name }) =>
  ['length last', 'chunks and a trailer', 'no length', 'no content', 'HEAD'].includes(name),
);

interface Play extends CutAnswer {
  readonly name: string;
  readonly method: 'GET' | 'HEAD';
  readonly isWhole: boolean;
}

/** Each cut of an answer at which it isn't whole, and the whole one. */
function playsOf(framing: Framing, writing: keyof typeof WRITINGS): Play[] {
  const { name, lines, body, method = 'GET', lineEnd = '\r\n', endsWithConnection = false } = framing;
  const head = [...lines, '', ''].join(lineEnd);
  const answer = head + body;
  const cuttable = endsWithConnection ? head.length : answer.length;
  const cuts = Array.from({ length: cuttable }, (_, cut) => cut);
  return (Object.keys(ENDINGS) as (keyof typeof ENDINGS)[]).flatMap((ending) => {
    const partial = cuts.map((cut) => ({ name, answer, cut, writing, ending, method, isWhole: false }));
    const isWholeSure = ending === 'FIN' && framing !== LINE_FEEDS;
    return isWholeSure
      ? [...partial, { name, answer, cut: answer.length, writing, ending, method, isWhole: true }]
      : partial;
  });
}

describe('an answer that is cut in its head or in what frames its body', function suite() {
  this.timeout(60_000);
  let upstream: CutUpstream;
  let relay: RelayServer;
  let peer: RelayPeer;

  before(async () => {
    upstream = await new CutUpstream().start();
    upstream.wholeAnswer = `${OK}\r\n${DEFAULT_HEADER_NAMES.requestId}: q-0\r\n${LENGTH}\r\n\r\n${BODY}`;
    relay = await RelayServer.listen({
      listen: '127.0.0.1:0',
      identity: identityOf('r2'),
      log: new LogRecorder(),
      targetOf: (_id, answer) => answer({ type: 'address', address: upstream.address }),
    });
    peer = { router: 'r2', zone: 'a', address: relay.address };
  });

  after(async () => {
    await relay.stop(0);
    upstream.stop();
  });

  function createPools(): UpstreamPools {
    return new UpstreamPools({
      connectionsPerUpstream: 1,
      connectMillis: 5000,
      dialer: new RelayDialer({ identity: identityOf('r1'), onClosing: () => {} }),
      onClientFailed: (_address, error) => {
        throw error;
      },
    });
  }

  interface Sending {
    readonly via: RelayPeer | null;
    readonly body: Buffer;
    /** Whether the connection has carried another exchange before. */
    readonly isReused: boolean;
  }

  async function exchange(
    pools: UpstreamPools,
    sending: Sending,
    request: { readonly id: string; readonly target: string; readonly method: string },
  ): Promise<AttemptResult> {
    const client = pools.poolFor({ upstream: 'u1', address: upstream.address, via: sending.via });
    return attemptOnce(client, { ...request, body: sending.body });
  }

  /** Plays all answers, and returns those that were taken for something else than they are. */
  async function misjudged(plays: readonly Play[], sending: Sending): Promise<object[]> {
    const wrong: object[] = [];
    const numbers = [...plays.keys()];
    upstream.answers = plays;
    upstream.sent.clear();
    const work = async (): Promise<void> => {
      const pools = createPools();
      for (let number = numbers.shift(); number !== undefined; number = numbers.shift()) {
        const play = plays[number] as Play;
        if (sending.isReused) {
          const first = await exchange(pools, sending, { id: 'q-0', target: WHOLE_TARGET, method: 'GET' });
          expect(first.type).to.equal('answered');
        }
        const { type } = await exchange(pools, sending, {
          id: 'q-1',
          target: `/${number}`,
          method: play.method,
        });
        if (type !== (play.isWhole ? 'answered' : 'broken') || !upstream.sent.has(number)) {
          const { name, cut, ending } = play;
          wrong.push({ name, sent: play.answer.slice(0, cut), ending, type });
        }
      }
      await pools.stop();
    };
    await Promise.all(Array.from({ length: AT_A_TIME }, work));
    return wrong;
  }

  const NO_BODY = Buffer.alloc(0);
  const DIRECT: Sending = { via: null, body: NO_BODY, isReused: false };

  // Guards against clients that get a 200 with an empty or short body, framed as whole.
  describe('is never passed on as whole', () => {
    it('over a direct connection, in one piece', async () => {
      const plays = [...FRAMINGS, LINE_FEEDS].flatMap((framing) => playsOf(framing, 'in one piece'));
      expect(await misjudged(plays, DIRECT)).to.deep.equal([]);
    });

    it('over a direct connection, in pieces with pauses', async () => {
      const plays = FEW_FRAMINGS.flatMap((framing) => playsOf(framing, 'in pieces with pauses'));
      expect(await misjudged(plays, DIRECT)).to.deep.equal([]);
    });

    it('as the second answer of a connection', async () => {
      const plays = FEW_FRAMINGS.flatMap((framing) => playsOf(framing, 'in one piece'));
      expect(await misjudged(plays, { ...DIRECT, isReused: true })).to.deep.equal([]);
    });

    it('over another router, in one piece', async () => {
      const plays = FEW_FRAMINGS.flatMap((framing) => playsOf(framing, 'in one piece'));
      expect(await misjudged(plays, { ...DIRECT, via: peer })).to.deep.equal([]);
    });

    it('over another router, in pieces with pauses', async () => {
      const plays = FEW_FRAMINGS.flatMap((framing) => playsOf(framing, 'in pieces with pauses'));
      expect(await misjudged(plays, { ...DIRECT, via: peer })).to.deep.equal([]);
    });

    it('as the answer to a second attempt', async () => {
      for (const cut of SECOND_ATTEMPT_CUTS) {
        const servers = await Promise.all(
          [1, 2].map(() =>
            new ScriptedUpstream((request) =>
              request.socket.end(isFirst() ? '' : headFor(request, LENGTH).slice(0, cut)),
            ).start(),
          ),
        );
        const count = (): number => servers.reduce((sum, { requests }) => sum + requests.length, 0);
        const isFirst = (): boolean => count() === 1;
        const router = await RouterFixture.start(servers, { log: new LogRecorder() });
        const { status } = await router.get('/reads/1');
        expect(count()).to.be.at.least(2);
        expect(status).to.be.oneOf([502, 503]);
        await router.stop();
        await Promise.all(servers.map((server) => server.stop()));
      }
    });

    it('while the body of its request is being sent', async () => {
      const plays = FEW_FRAMINGS.flatMap((framing) => playsOf(framing, 'in one piece')).filter(
        ({ isWhole, cut, method }) => !isWhole && method === 'GET' && cut % 8 === 7,
      );
      expect(await misjudged(plays, { ...DIRECT, body: UNREAD_BODY })).to.deep.equal([]);
    });
  });
});

function identityOf(router: string) {
  const greeting = { type: 'greeting', cluster: 'c', kind: 'router', name: router, zone: 'a' } as const;
  return { greeting, secret: 's', expects: ['router'] as const };
}
