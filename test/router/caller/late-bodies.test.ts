/** A request whose caller was told that it came too slowly does not run, though the rest of it comes while that answer waits to be sent. */
import { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { DEFAULT_HTTP_LIMITS } from '../../../src/wire/http/http-listener.js';
import { LogRecorder } from '../log-recorder.js';
import { RouterFixture, until } from '../router-fixture.js';
import { ScriptedUpstream } from '../scripted-upstream.js';
import { postHead, RawCaller } from './raw-caller.js';

const REQUEST_MILLIS = 300;
/** Longer than the rest of a request takes. */
const REST_MILLIS = 100;

type Write = (this: Socket, ...args: unknown[]) => void;
interface SocketWrites {
  _write: Write;
  _writev: Write | undefined;
}

/** Keeps the sockets of one port from sending until they are released, as a full send buffer does. */
class HeldWrites {
  readonly #writes = Socket.prototype as unknown as SocketWrites;
  readonly #original: SocketWrites = { _write: this.#writes._write, _writev: this.#writes._writev };
  readonly #held: (() => void)[] = [];
  #isHolding = true;

  constructor(port: number) {
    const hold = (write: Write): Write => {
      const { isHeld, held } = { isHeld: () => this.#isHolding, held: this.#held };
      return function (this: Socket, ...args) {
        if (this.localPort === port && isHeld()) {
          held.push(() => write.apply(this, args));
        } else {
          write.apply(this, args);
        }
      };
    };
    this.#writes._write = hold(this.#original._write);
    this.#writes._writev = hold(this.#original._writev as Write);
  }

  release(): void {
    this.#isHolding = false;
    for (const write of this.#held.splice(0)) {
      write();
    }
  }

  restore(): void {
    this.release();
    Object.assign(this.#writes, this.#original);
  }
}

describe('a request that came too slowly', () => {
  let upstream: ScriptedUpstream;
  let router: RouterFixture;
  let writes: HeldWrites | null = null;
  const log = new LogRecorder();

  beforeEach(async () => {
    upstream = await new ScriptedUpstream().start();
    const http = { ...DEFAULT_HTTP_LIMITS, headersMillis: REQUEST_MILLIS, requestMillis: REQUEST_MILLIS };
    router = await RouterFixture.start([upstream], { log, settings: { http } });
  });

  afterEach(async () => {
    writes?.restore();
    await router.stop();
    await upstream.stop();
  });

  it('is not run once it has been told so', async () => {
    const caller = await RawCaller.connect(router.address);
    writes = new HeldWrites(Number(router.address.split(':')[1]));
    const order = postHead('/orders/1', 'abc');
    caller.send(order.slice(0, -1));
    await until(() => log.fieldsOf('caller-fault-answered').length > 0);
    caller.send(order.slice(-1));
    await sleep(REST_MILLIS);
    writes.release();
    await until(() => caller.closed);
    expect(caller.statuses).to.deep.equal([408]);
    expect(upstream.requests.map(({ target }) => target)).to.deep.equal([]);
  });

  it('lets nothing behind it run either', async () => {
    const caller = await RawCaller.connect(router.address);
    writes = new HeldWrites(Number(router.address.split(':')[1]));
    const order = postHead('/orders/1', 'abc');
    caller.send(order.slice(0, -1));
    const answered = log.fieldsOf('caller-fault-answered').length;
    await until(() => log.fieldsOf('caller-fault-answered').length > answered);
    caller.send(order.slice(-1) + postHead('/orders/2', 'abc'));
    await sleep(REST_MILLIS);
    writes.release();
    await until(() => caller.closed);
    expect(upstream.requests.map(({ target }) => target)).to.deep.equal([]);
  });
});
