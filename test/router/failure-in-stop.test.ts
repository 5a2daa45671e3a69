/** A planned stop ends by itself also where the core of the router fails in it. */
import { expect } from 'chai';
import { createRouterNode } from '../../src/routing/index.js';
import type { RouterConfig, RouterCore, RouterEffect, RouterInput } from '../../src/routing/types.js';
import { getHead, RawCaller } from './caller/raw-caller.js';
import { RouterFixture, until } from './router-fixture.js';
import { ScriptedUpstream } from './scripted-upstream.js';

const STOP_GRACE_MILLIS = 1500;

/** A core that fails with its first input after the one that begins a planned stop. */
function createFailingCore(config: RouterConfig): RouterCore {
  const core = createRouterNode(config);
  let isStopping = false;
  return {
    step: (input: RouterInput, now, wall): RouterEffect[] => {
      if (isStopping) {
        throw new Error('the core fails');
      }
      isStopping = input.type === 'stopping';
      return core.step(input, now, wall);
    },
    nextDeadline: () => core.nextDeadline(),
    status: () => core.status(),
  };
}

describe('a planned stop in which the core of the router fails', () => {
  it('ends its connections before the process may be killed', async () => {
    const upstream = await new ScriptedUpstream(() => {}).start();
    const settings = { timings: { stopGraceMillis: STOP_GRACE_MILLIS } };
    const router = await RouterFixture.start([upstream], { settings, createCore: createFailingCore });
    const caller = await RawCaller.connect(router.address);
    caller.send(getHead('/reads/1'));
    await until(() => upstream.requests.length === 1);
    const startedAt = performance.now();
    await router.stop();
    expect(performance.now() - startedAt).to.be.below(STOP_GRACE_MILLIS);
    caller.disconnect();
    await upstream.stop();
  });
});
