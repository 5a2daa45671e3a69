/** Addresses of this machine that nothing listens at. */
import { once } from 'node:events';
import { type AddressInfo, createServer } from 'node:net';

/**
 * An IP address of this process alone. Connections within the machine come from 127.0.0.1, so none of them takes a port of it that nothing
 * listens at for a while.
 */
export const OWN_HOST = `127.141.${(process.pid >> 8) & 0xff}.${process.pid & 0xff}`;

export async function freeAddress(host = OWN_HOST): Promise<string> {
  const [address] = await freeAddresses(1, host);
  return address as string;
}

/** Addresses that differ from one another: all are held until the last one is chosen. */
export async function freeAddresses(count: number, host = OWN_HOST): Promise<string[]> {
  const servers = Array.from({ length: count }, () => createServer().listen(0, host));
  await Promise.all(servers.map((server) => once(server, 'listening')));
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  await Promise.all(servers.map((server) => once(server.close(), 'close')));
  return ports.map((port) => `${host}:${port}`);
}
