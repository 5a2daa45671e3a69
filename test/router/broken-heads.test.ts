/** Answers whose status isn't one, or whose head has a line that is no field: no part of them reaches a caller as an answer. */
import { expect } from 'chai';
import { DEFAULT_HEADER_NAMES } from '../../src/model/header-names.js';
import type { RelayPeer } from '../../src/model/relay.js';
import { UpstreamPools } from '../../src/router/attempts/upstream-pools.js';
import { RelayDialer } from '../../src/router/relay/relay-dialer.js';
import { RelayServer } from '../../src/router/relay/relay-server.js';
import { callRouter } from '../platform/announced-upstream.js';
import { LogRecorder } from './log-recorder.js';
import { RoutedRouter } from './routed-router.js';
import { RouterFixture } from './router-fixture.js';
import { answerWhole, type ScriptedRequest, ScriptedUpstream } from './scripted-upstream.js';
import { attemptOnce } from './single-attempt.js';

const AT_A_TIME = 16;
const NO_BODY = Buffer.alloc(0);
const BODY = 'the whole sheet';
const SEAL = 'response-seal: 3e1b.07';
const DEADLINE_MILLIS = 900;

const BAD_STATUSES = [
  '000',
  '001',
  '010',
  '099',
  '600',
  '666',
  '700',
  '999',
  '00',
  '0',
  '20',
  '2000',
  '0200',
  '-200',
  '+200',
  '2 0',
  '2x0',
];

/** Lines that are no fields, within any head. */
const BAD_LINES = [
  'x bad: v',
  'x-bad : v',
  'x-bad\t: v',
  'x\tbad: v',
  'x\x00bad: v',
  'x\x01bad: v',
  'x\x1fbad: v',
  'x\x7fbad: v',
  'x\x80bad: v',
  'x\xe9bad: v',
  'x"bad: v',
  'x(bad): v',
  ': v',
  ' : v',
  'x-bad',
  'content length: 4',
  'content-length : 4',
  'transfer encoding: chunked',
  'transfer-encoding\t: chunked',
];

/** Lines that continue the field in front of them (RFC 9112, 5.2). */
const FOLDED_LINES = [
  ' x-bad: v',
  '\tx-bad: v',
  ' v',
  ' ',
  ' content-length: 4',
  '\ttransfer-encoding: chunked',
];

const FRAMINGS: Readonly<Record<string, { readonly lines: readonly string[]; readonly body: string }>> = {
  'a length': { lines: [`content-length: ${BODY.length}`], body: BODY },
  chunks: { lines: ['transfer-encoding: chunked'], body: `f\r\n${BODY}\r\n0\r\n\r\n` },
  'no length': { lines: [], body: BODY },
  'a length, closes': { lines: ['connection: close', `content-length: ${BODY.length}`], body: BODY },
};

/** Where a bad line stands. */
const PLACES: Readonly<Record<string, (fields: readonly string[], bad: string) => string[]>> = {
  'in front of the others': (fields, bad) => [bad, ...fields],
  'behind the id': ([id = '', ...rest], bad) => [id, bad, ...rest],
  'behind the seal': ([id = '', seal = '', ...rest], bad) => [id, seal, bad, ...rest],
  'behind the others': (fields, bad) => [...fields, bad],
};

/** Lines by which a body comes in another transfer coding than chunks alone (RFC 9112, 6.1). */
const CODING_LINES = [
  ['transfer-encoding: gzip'],
  ['transfer-encoding: GZIP'],
  ['transfer-encoding: gzip, chunked'],
  ['transfer-encoding: gzip', 'transfer-encoding: chunked'],
  ['transfer-encoding: chunked', 'transfer-encoding: gzip'],
  ['transfer-encoding: chunked, gzip'],
  ['transfer-encoding: chunked, chunked'],
  ['transfer-encoding: deflate'],
  ['transfer-encoding: x-other'],
  ['transfer-encoding: chunkedx'],
  ['transfer-encoding: xchunked'],
  ['transfer-encoding:'],
];
const CHUNKED_LINES = [
  'transfer-encoding: chunked',
  'Transfer-Encoding:  Chunked ',
  'transfer-encoding:chunked',
];

/** What follows the answer. */
const FOLLOWINGS = {
  nothing: () => {},
  'a sound answer': (request: ScriptedRequest) => answerWhole(request),
  'its end': ({ socket }: ScriptedRequest) => socket.end(),
} as const;

interface Play {
  readonly answer: string;
  readonly following: keyof typeof FOLLOWINGS;
  /** The lines in one piece, or each alone. */
  readonly pieces: 'one' | 'lines';
}

function answersOf(statusLine: string, places: typeof PLACES, bad: string | null): string[] {
  return Object.values(FRAMINGS).flatMap(({ lines, body }) =>
    Object.values(places).map((place) => {
      const fields = [`${DEFAULT_HEADER_NAMES.requestId}: q-1`, SEAL, ...lines];
      const head = [statusLine, ...(bad === null ? fields : place(fields, bad)), '', ''];
      return head.join('\r\n') + body;
    }),
  );
}

/** An answer with these lines, whose body is in chunks or isn't. */
function codedAnswers(status: string, lines: readonly string[]): string[] {
  const head = [`HTTP/1.1 ${status}`, `${DEFAULT_HEADER_NAMES.requestId}: q-1`, ...lines, '', ''].join(
    '\r\n',
  );
  return [`${head}f\r\n${BODY}\r\n0\r\n\r\n`, head + BODY];
}

function playsOf(answers: readonly string[]): Play[] {
  return answers.flatMap((answer) =>
    (Object.keys(FOLLOWINGS) as (keyof typeof FOLLOWINGS)[]).flatMap((following) =>
      (['one', 'lines'] as const).map((pieces) => ({ answer, following, pieces })),
    ),
  );
}

const [FIRST_PLACE] = Object.entries(PLACES);
const ONE_PLACE = Object.fromEntries([FIRST_PLACE as [string, (typeof PLACES)[string]]]);

const STATUS_PLAYS = BAD_STATUSES.flatMap((status) =>
  playsOf(answersOf(`HTTP/1.1 ${status} Odd`, ONE_PLACE, null)),
);
const LINE_PLAYS = BAD_LINES.flatMap((bad) => playsOf(answersOf('HTTP/1.1 200 OK', PLACES, bad)));
const CODING_PLAYS = playsOf(CODING_LINES.flatMap((lines) => codedAnswers('200 OK', lines)));
const FOLD_PLAYS = FOLDED_LINES.flatMap((bad) => playsOf(answersOf('HTTP/1.1 200 OK', PLACES, bad)));

async function write({ socket }: ScriptedRequest, { answer, pieces }: Play): Promise<void> {
  const parts = pieces === 'one' ? [answer] : answer.split(/(?<=\n)/);
  for (const part of parts) {
    await new Promise<void>((resolve) => socket.write(part, 'latin1', () => setImmediate(resolve)));
  }
}

describe('an answer with a broken head', function suite() {
  this.timeout(60_000);
  let upstream: ScriptedUpstream;
  let relay: RelayServer;
  let peer: RelayPeer;
  let plays: readonly Play[] = [];

  before(async () => {
    upstream = await new ScriptedUpstream((request) => {
      const play = plays[Number(request.target.slice(1))] as Play;
      void write(request, play).then(() => FOLLOWINGS[play.following](request));
    }).start();
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
    await upstream.stop();
  });

  /** Plays answers, and returns those that weren't taken for broken ones of their upstream. */
  async function misjudged(
    played: readonly Play[],
    via: RelayPeer | null,
    method = 'GET',
  ): Promise<string[]> {
    plays = played;
    const wrong: string[] = [];
    const numbers = [...played.keys()];
    const work = async (): Promise<void> => {
      const pools = createPools();
      for (let number = numbers.shift(); number !== undefined; number = numbers.shift()) {
        const client = pools.poolFor({ upstream: 'u1', address: upstream.address, via });
        const request = { id: 'q-1', target: `/${number}`, method, body: NO_BODY };
        const result = await attemptOnce(client, request);
        if (result.type !== 'broken') {
          const { answer, following, pieces } = played[number] as Play;
          wrong.push(`${result.type}, in ${pieces}, before ${following}: ${JSON.stringify(answer)}`);
        }
      }
      await pools.stop();
    };
    await Promise.all(Array.from({ length: AT_A_TIME }, work));
    return wrong;
  }

  for (const path of ['direct', 'relayed']) {
    const via = (): RelayPeer | null => (path === 'direct' ? null : peer);

    // Guards against answers that are passed on with a status that HTTP doesn't have.
    it(`is broken if its status isn't one of three digits from 100 to 599 (${path})`, async () => {
      expect(await misjudged(STATUS_PLAYS, via())).to.deep.equal([]);
    });

    // Guards against answers that are passed on with a line that is no field, or with a body that it frames otherwise.
    it(`is broken if a name holds a blank or a byte that no name may hold (${path})`, async () => {
      expect(await misjudged(LINE_PLAYS, via())).to.deep.equal([]);
    });

    // Guards against fields that are passed on with the line behind them as a part of their values.
    it(`is broken if a line continues the field in front of it (${path})`, async () => {
      expect(await misjudged(FOLD_PLAYS, via())).to.deep.equal([]);
    });
  }

  // Guards against coded bodies that callers take for the resource itself, and against parts of them.
  for (const path of ['direct', 'relayed']) {
    it(`is broken if its body is in another transfer coding than chunks (${path})`, async () => {
      expect(await misjudged(CODING_PLAYS, path === 'direct' ? null : peer)).to.deep.equal([]);
    });
  }

  it('is whole if its transfer coding is written in another way', async () => {
    const answers = CHUNKED_LINES.flatMap((line) => codedAnswers('200 OK', [line]).slice(0, 1));
    const played = playsOf(answers);
    expect(await misjudged(played, null)).to.have.length(played.length);
  });

  it('is broken as the answer to HEAD too', async () => {
    expect(await misjudged([...STATUS_PLAYS, ...LINE_PLAYS, ...FOLD_PLAYS], null, 'HEAD')).to.deep.equal([]);
  });

  it('is broken if it has no body either', async () => {
    const answers = [...BAD_LINES, ...FOLDED_LINES].flatMap((bad) =>
      ['204 No Content', '304 Not Modified'].flatMap((status) =>
        answersOf(`HTTP/1.1 ${status}`, PLACES, bad),
      ),
    );
    expect(await misjudged(playsOf(answers), null)).to.deep.equal([]);
  });
});

describe('the caller of an upstream that answers with a broken head', () => {
  const BROKEN: Readonly<Record<string, readonly string[]>> = {
    'a status that is none': ['HTTP/1.1 000 Odd'],
    'a status over 599': ['HTTP/1.1 600 Odd'],
    'a status of four digits that begins like an interim one': ['HTTP/1.1 1000 Odd'],
    'a status over 599 behind an empty line and early hints': [
      '\r\nHTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 600 Odd',
    ],
    'an answer behind switched protocols': ['HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK'],
    'one of four digits in front of an answer': ['HTTP/1.1 1030 Odd\r\n\r\nHTTP/1.1 200 OK'],
    'a name with a blank': ['HTTP/1.1 200 OK', 'x bad: v'],
    'a name with a control byte': ['HTTP/1.1 200 OK', 'x\x01bad: v'],
    'a folded line': ['HTTP/1.1 200 OK', SEAL, ' x-bad: v'],
    'a coded body': ['HTTP/1.1 200 OK', 'transfer-encoding: gzip'],
  };

  function answerBroken({ socket, headers }: ScriptedRequest, lines: readonly string[]): void {
    const id = `${DEFAULT_HEADER_NAMES.requestId}: ${headers.get(DEFAULT_HEADER_NAMES.requestId)}`;
    const [statusLine = '', ...fields] = lines;
    const isCoded = fields.some((field) => field.startsWith('transfer-encoding'));
    const length = isCoded ? [] : [`content-length: ${BODY.length}`];
    const head = [statusLine, id, ...fields, ...length, '', ''];
    socket.write(head.join('\r\n') + BODY, 'latin1');
    if (isCoded) {
      socket.end();
    }
  }

  for (const [name, lines] of Object.entries(BROKEN)) {
    // Guards against answers of an upstream in trouble that reach a caller.
    it(`gets a 502 of the router: ${name}`, async () => {
      const router = await RoutedRouter.start();
      router.server.script = (request) => answerBroken(request, lines);
      for (const path of ['/reads/1', '/orders/1']) {
        const answer = await callRouter(router.daemon.address, path, { id: path, deadline: DEADLINE_MILLIS });
        expect(answer.status).to.equal(502);
        expect(JSON.stringify(answer)).to.not.include('x-bad').and.not.include(BODY);
      }
      expect(router.server.requests.filter(({ target }) => target === '/orders/1')).to.have.length(1);
      await router.stop();
    });

    // Guards against reads that fail though another upstream answers.
    it(`gets the answer of another one to a read: ${name}`, async () => {
      let isBroken = true;
      const servers = await Promise.all(
        [1, 2].map(() =>
          new ScriptedUpstream((request) => {
            if (isBroken) {
              isBroken = false;
              answerBroken(request, lines);
            } else {
              answerWhole(request);
            }
          }).start(),
        ),
      );
      const router = await RouterFixture.start(servers, { log: new LogRecorder(), announced: true });
      const { status, body } = await router.get('/reads/1');
      expect({ status, body, isBroken }).to.deep.equal({ status: 200, body: '/reads/1', isBroken: false });
      await router.stop();
      await Promise.all(servers.map((server) => server.stop()));
    });
  }
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

function identityOf(router: string) {
  const greeting = { type: 'greeting', cluster: 'c', kind: 'router', name: router, zone: 'a' } as const;
  return { greeting, secret: 's', expects: ['router'] as const };
}
