/** Addresses of this machine that nothing listens at. */
import { once } from 'node:events';
import { type AddressInfo, createServer } from 'node:net';

export async function freeAddress(host = '127.0.0.1'): Promise<string> {
  const [address] = await freeAddresses(1, host);
  return address as string;
}

/** Addresses that differ from one another: all are held until the last one is chosen. */
export async function freeAddresses(count: number, host = '127.0.0.1'): Promise<string[]> {
  const servers = Array.from({ length: count }, () => createServer().listen(0, host));
  await Promise.all(servers.map((server) => once(server, 'listening')));
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  await Promise.all(servers.map((server) => once(server.close(), 'close')));
  return ports.map((port) => `${host}:${port}`);
}
