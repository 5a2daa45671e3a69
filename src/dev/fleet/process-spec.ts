/** Start parameters of a process of a fleet. */
import type { Address, Zone } from '../../model/identifiers.js';

export type ProcessKind = 'control' | 'router' | 'upstream' | 'caller' | 'link' | 'platform';

export interface ProcessSpec {
  readonly name: string;
  readonly kind: ProcessKind;
  readonly zone: Zone;
  /** IP address of the process, 127.x.y.z. */
  readonly host: string;
  /** Arguments for `node`. */
  readonly command: readonly string[];
  /** The process is ready once this address accepts connections; `null`: as soon as it runs. */
  readonly readyAddress: Address | null;
  /** Folder of the process, created before the start. */
  readonly folder: string;
}
