/** What the soak's operator counts as a violation: readings that are older than an acknowledgement, or mixed. */
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { Random } from '../../src/dev/sim/random.js';
import { DocumentOperator } from './document-operator.js';

const ACKNOWLEDGED = 3;

/** Accepts every change, and shows `shown` to those who read. */
async function serve(shown: (accepted: number) => object): Promise<Server> {
  let accepted = 0;
  const server = createServer((request, response) => {
    request.resume();
    request.on('end', () => {
      accepted += request.method === 'PUT' ? 1 : 0;
      response.end(JSON.stringify(shown(accepted)));
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return server;
}

function documentOf(version: number, mark: number): object {
  return { version, routes: [{ name: 'mark', prefix: `/mark-${mark}/` }] };
}

describe('operator of the soak of control members', () => {
  async function violationsOf(shown: (accepted: number) => object): Promise<readonly string[]> {
    const server = await serve(shown);
    const members = [`127.0.0.1:${(server.address() as AddressInfo).port}`];
    const operator = new DocumentOperator({ members, routes: 1, maxPauseMillis: 0 }, new Random(1));
    try {
      operator.start();
      while (operator.acknowledgements < ACKNOWLEDGED) {
        await operator.readBefore(0);
      }
      await operator.stop();
      await operator.readBefore(0);
      return operator.violations;
    } finally {
      operator.close();
      server.close();
    }
  }

  it('finds none where the last version is read', async () => {
    expect(await violationsOf((accepted) => documentOf(accepted, accepted))).to.deep.equal([]);
  });

  it('finds a reading that is older than what was acknowledged', async () => {
    const violations = await violationsOf((accepted) => documentOf(accepted - 1, accepted - 1));
    expect(violations.join('\n')).to.match(/read as version \d+ after \d+ was acknowledged/);
  });

  it('finds a version with the content of another', async () => {
    const violations = await violationsOf((accepted) => documentOf(accepted, accepted - 1));
    expect(violations.join('\n')).to.match(/read as version \d+ with \/mark-\d+\//);
  });
});
