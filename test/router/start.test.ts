import { once } from 'node:events';
import { connect } from 'node:net';
import { expect } from 'chai';
import { RouterDaemon } from '../../src/router/router-daemon.js';
import type { RouterCore } from '../../src/routing/types.js';
import { freeAddress } from './free-address.js';
import { LogRecorder } from './log-recorder.js';

/** How long the process is kept from its timers, sockets and signals. */
const HOLD_UP_MILLIS = 300;

/** Resolves to `connect` or the code of the error. */
async function dial(address: string): Promise<string> {
  const [host, port] = address.split(':');
  const socket = connect(Number(port), host);
  return new Promise((resolve) => {
    socket.once('connect', () => {
      socket.destroy();
      resolve('connect');
    });
    socket.once('error', (error: NodeJS.ErrnoException) => resolve(error.code ?? ''));
  });
}

/** Less than the hold-up by the period in which a router looks for hold-ups. */
const MIN_NOTICED_MILLIS = 150;

/** Sends this process a signal, and keeps it from hearing it. */
function signalInHoldUp(signal: 'SIGTERM'): void {
  process.kill(process.pid, signal);
  const end = performance.now() + HOLD_UP_MILLIS;
  while (performance.now() < end) {
    // Busy.
  }
}

describe('start of a router', () => {
  let serving: boolean;
  /** Called whenever the router looks whether it has a configuration. */
  let onLook: () => void;
  let log: LogRecorder;
  let daemon: RouterDaemon;

  beforeEach(() => {
    onLook = () => {};
    log = new LogRecorder();
  });

  const core: RouterCore = {
    step: () => [],
    nextDeadline: () => Number.POSITIVE_INFINITY,
    status: () => {
      onLook();
      return {
        revision: 0,
        serving,
        queued: 0,
        inFlight: 0,
        unsettled: 0,
        limited: 0,
        resting: 0,
        returns: { made: 0, kept: 0, broken: 0, hopeless: 0 },
        relayed: { upstreams: 0, relays: 0 },
        leaving: 0,
        routes: [],
      };
    },
  };

  async function makeDaemon(listen: string, firstConfigurationMillis: number): Promise<RouterDaemon> {
    const control = [await freeAddress()];
    const base = { cluster: 'c1', router: 'r1', zone: 'zone-a', secret: 'secret', admin: '127.0.0.1:0' };
    const settings = { ...base, listen, control, timings: { firstConfigurationMillis, idleMillis: 0 } };
    return new RouterDaemon(settings, () => core, 'node', log);
  }

  afterEach(() => daemon.stop());

  it('accepts callers once it has a configuration', async () => {
    serving = false;
    const listen = await freeAddress();
    daemon = await makeDaemon(listen, Number.POSITIVE_INFINITY);
    const started = daemon.start();
    expect(await dial(listen)).to.equal('ECONNREFUSED');
    serving = true;
    await started;
    expect(await dial(listen)).to.equal('connect');
  });

  it('accepts callers after the time limit without a configuration, to refuse them with a reason', async () => {
    serving = false;
    const listen = await freeAddress();
    daemon = await makeDaemon(listen, 0);
    await daemon.start();
    expect(await dial(listen)).to.equal('connect');
  });

  // Guards against a stop that counts its time from when the port opens, though its signal came during a start that was held up.
  it('opens no port for callers if it was held up, and the signal of its stop waits to be heard', async () => {
    serving = false;
    const listen = await freeAddress();
    daemon = await makeDaemon(listen, Number.POSITIVE_INFINITY);
    const heard = once(process, 'SIGTERM').then(() => daemon.stop());
    const started = daemon.start();
    onLook = () => {
      onLook = () => {};
      signalInHoldUp('SIGTERM');
      serving = true;
    };
    await Promise.all([started, heard]);
    expect(log.fieldsOf('stopping')).to.have.length(1);
    expect(log.fieldsOf('started')).to.have.length(0);
    expect(await dial(listen)).to.equal('ECONNREFUSED');
  });

  // Guards against stops of idle routers that count their time from the end of a hold-up, since none of their timers was due in it.
  it('is followed by a stop that counts from the hold-up in which its signal came, also where the core has no timers', async () => {
    serving = true;
    daemon = await makeDaemon(await freeAddress(), 0);
    await daemon.start();
    const startedAt = performance.now();
    const heard = once(process, 'SIGTERM').then(() => daemon.stop());
    signalInHoldUp('SIGTERM');
    await heard;
    const [{ heldUpMillis } = {}] = log.fieldsOf('stopping');
    expect(heldUpMillis).to.be.within(MIN_NOTICED_MILLIS, performance.now() - startedAt);
  });
});
