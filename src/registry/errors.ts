/** Errors of the registry. */
import { TernmountError } from '../errors/ternmount-error.js';

export class RegistryError extends TernmountError {}

/** A snapshot can't be decoded: it is damaged, or its version isn't supported by this release. */
export class RegistrySnapshotError extends RegistryError {
  constructor(message: string, cause?: Error) {
    super({ code: 'TERNMOUNT_REGISTRY_SNAPSHOT', retriable: false, cause }, message);
  }
}

/** An entry is out of order: the log and the state machine don't match. */
export class RegistryOrderError extends RegistryError {
  constructor(index: number, revision: number) {
    super(
      { code: 'TERNMOUNT_REGISTRY_ORDER', retriable: false, info: { index, revision } },
      `entry ${index} can't follow revision ${revision}`,
    );
  }
}
