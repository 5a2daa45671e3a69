/** Requests that the router turns away by itself, before its core hears of them. Nothing has run. */
import { TernmountError } from '../../errors/ternmount-error.js';

/** A request that makes no sense; 400. */
export class BadRequestError extends TernmountError {
  readonly status = 400;
  readonly reason = 'bad-request';

  constructor(message: string) {
    super({ code: 'TERNMOUNT_ROUTER_BAD_REQUEST', retriable: false }, message);
  }
}

/** A body above the bound; 413. */
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

/** Too many bodies are held already; 503. */
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

export type TurnedAwayError = BadRequestError | BodyTooLargeError | BodiesHeldError;

export function isTurnedAway(error: unknown): error is TurnedAwayError {
  return (
    error instanceof BadRequestError || error instanceof BodyTooLargeError || error instanceof BodiesHeldError
  );
}
