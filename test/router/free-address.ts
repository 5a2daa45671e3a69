/** An address of this machine that nothing listens at. */
import { once } from 'node:events';
import { type AddressInfo, createServer } from 'node:net';

export async function freeAddress(host = '127.0.0.1'): Promise<string> {
  const server = createServer().listen(0, host);
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return `${host}:${port}`;
}
