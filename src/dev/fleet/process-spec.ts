/** What the fleet runner needs to know of a process to start it. */
import type { Address, Zone } from '../../model/identifiers.js';

export type ProcessKind = 'control' | 'router' | 'upstream' | 'caller' | 'link' | 'platform';

export interface ProcessSpec {
  readonly name: string;
  readonly kind: ProcessKind;
  readonly zone: Zone;
  /** Own IP number, 127.x.y.z. */
  readonly host: string;
  /** Arguments for `node`. */
  readonly command: readonly string[];
  /** The process is up once this accepts connections; `null`: as soon as it runs. */
  readonly readyAddress: Address | null;
  /** Own folder, made before the start. */
  readonly folder: string;
}
