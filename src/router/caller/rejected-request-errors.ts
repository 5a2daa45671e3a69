/** Errors of requests that the router rejects before they reach its core. Such a request has not run. */
import { TernmountError } from '../../errors/ternmount-error.js';

/** The request is invalid; answered with 400. */
export class BadRequestError extends TernmountError {
  readonly status = 400;
  readonly reason = 'bad-request';

  constructor(message: string) {
    super({ code: 'TERNMOUNT_ROUTER_BAD_REQUEST', retriable: false }, message);
  }
}

/** The body exceeds its limit; answered with 413. */
export class BodyTooLargeError extends TernmountError {
  readonly status = 413;
  readonly reason = 'body-too-large';

  constructor(maxBodyBytes: number) {
    super(
      { code: 'TERNMOUNT_ROUTER_BODY_TOO_LARGE', retriable: false, info: { maxBodyBytes } },
      `the body is above ${maxBodyBytes} bytes`,
    );
  }
}

/** The router already buffers too many bodies; answered with 503. */
export class BodiesHeldError extends TernmountError {
  readonly status = 503;
  readonly reason = 'queue-full';

  constructor() {
    super(
      { code: 'TERNMOUNT_ROUTER_BODIES_HELD', retriable: true },
      'the router holds too many request bodies',
    );
  }
}

/** The router's planned stop is at its end, and the body hasn't come whole; answered with 503. */
export class StopEndedError extends TernmountError {
  readonly status = 503;
  readonly reason = 'stopping';

  constructor() {
    super({ code: 'TERNMOUNT_ROUTER_STOP_ENDED', retriable: true }, 'the router stops');
  }
}

export type RejectedRequestError = BadRequestError | BodyTooLargeError | BodiesHeldError | StopEndedError;

export function isRejectedRequestError(error: unknown): error is RejectedRequestError {
  return (
    error instanceof BadRequestError ||
    error instanceof BodyTooLargeError ||
    error instanceof BodiesHeldError ||
    error instanceof StopEndedError
  );
}
