/** UUIDs of version 7 (RFC 9562): the first 48 bits are the time, so a receiver can determine a key's age. */
import { randomBytes } from 'node:crypto';

const TIME_BYTES = 6;

/** Returns a new UUIDv7 with the time `wall`, in milliseconds since the Unix epoch. */
export function makeUuidV7(wall: number): string {
  const bytes = randomBytes(16);
  bytes.writeUIntBE(wall, 0, TIME_BYTES);
  bytes[6] = 0x70 | ((bytes[6] as number) & 0x0f);
  bytes[8] = 0x80 | ((bytes[8] as number) & 0x3f);
  const hex = bytes.toString('hex');
  const groups = [hex.slice(0, 8), hex.slice(8, 12), hex.slice(12, 16), hex.slice(16, 20), hex.slice(20)];
  return groups.join('-');
}
