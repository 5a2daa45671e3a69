/** Middlewares of the operator API: errors, authentication, authorization and the audit log. */
import type { Middleware } from 'koa';
import { toError } from '../../errors/ternmount-error.js';
import type { Logger } from '../../logging/logger.js';
import type { TokenAuthority } from '../../security/operator-tokens.js';
import type { AdminState } from './admin-context.js';
import { AdminError } from './admin-error.js';

type AdminMiddleware = Middleware<AdminState>;

const READ_METHODS = new Set(['GET', 'HEAD', 'OPTIONS']);
const HTTP_NOT_FOUND = 404;
const BEARER_PATTERN = /^Bearer +([\x21-\x7e]+)$/i;
/** Served without a token, for liveness checks. */
export const HEALTH_PATH = '/healthz';

function toAdminError(thrown: unknown): AdminError {
  if (thrown instanceof AdminError) {
    return thrown;
  }
  return new AdminError('internal', 'an internal error', {}, { cause: toError(thrown) });
}

/** Converts thrown errors to responses. The response to an internal error contains no details. */
export function answerErrors(logger: Logger): AdminMiddleware {
  return async (context, next) => {
    try {
      await next();
    } catch (thrown) {
      const error = toAdminError(thrown);
      if (error.adminCode === 'internal') {
        logger.error('request-failed', {
          method: context.method,
          path: context.path,
          error: toError(thrown),
        });
      }
      if (error.adminCode === 'unauthenticated') {
        context.set('WWW-Authenticate', 'Bearer');
      }
      if (error.adminCode === 'body-too-large') {
        context.set('Connection', 'close');
      }
      context.status = error.status;
      context.body = error.body();
    }
  };
}

/** Responds with a JSON error to paths without a route. */
export const answerNotFound: AdminMiddleware = async (context, next) => {
  await next();
  if (context.status === HTTP_NOT_FOUND && context.body === undefined) {
    throw new AdminError('not-found', `there is nothing at ${context.path}`);
  }
};

/**
 * Writes an audit record with actor, change and outcome for each request that isn't a read. Rejected announcements go to the rate-limited
 * `logger` instead, since their number has no bound.
 */
export function auditWrites(auditLogger: Logger, logger: Logger): AdminMiddleware {
  return async (context, next) => {
    if (READ_METHODS.has(context.method)) {
      await next();
      return;
    }
    // The address is read first, since it is gone once the client has closed the connection.
    const from = context.ip;
    const arrivedAt = performance.now();
    let outcome = 'failed';
    let revision: number | null = null;
    let problem: string | null = null;
    try {
      await next();
      outcome = context.state.redirectedTo === undefined ? 'accepted' : 'redirected';
      revision = (context.body as { revision?: number } | undefined)?.revision ?? null;
    } catch (thrown) {
      const error = toAdminError(thrown);
      outcome = error.adminCode;
      problem = error.message;
      throw thrown;
    } finally {
      const { operator, audit, isRoutine = false, redirectedTo: leader = null } = context.state;
      const { isAnnouncement = false } = context.state;
      const succeeded = outcome === 'accepted' || outcome === 'redirected';
      if (isAnnouncement && !succeeded) {
        const { method, path } = context;
        const sent = context.state.unusable ?? null;
        logger.info('announcement-refused', { from, method, path, outcome, problem, sent });
      } else if (!isRoutine || !succeeded) {
        auditLogger.info('operator-change', {
          actor: operator?.name ?? null,
          from,
          method: context.method,
          path: context.path,
          action: audit?.action ?? null,
          subject: audit?.subject ?? null,
          requestId: audit?.requestId ?? null,
          outcome,
          revision,
          problem,
          leader,
          readMillis: audit?.readAt === undefined ? null : Math.round(audit.readAt - arrivedAt),
          tookMillis: Math.round(performance.now() - arrivedAt),
        });
      }
    }
  };
}

/** Authenticates and authorizes a request. Without an authority every request is allowed. */
export function authenticate(authority: TokenAuthority | null): AdminMiddleware {
  return async (context, next) => {
    if (authority === null || context.path === HEALTH_PATH) {
      await next();
      return;
    }
    const token = BEARER_PATTERN.exec(context.get('Authorization'))?.[1];
    const operator = token === undefined ? undefined : authority.authenticate(token);
    if (operator === undefined) {
      const message = token === undefined ? 'a token is needed' : 'the token is unknown or expired';
      throw new AdminError('unauthenticated', message);
    }
    context.state.operator = operator;
    if (operator.role !== 'write' && !READ_METHODS.has(context.method)) {
      throw new AdminError('forbidden', `the token ${JSON.stringify(operator.name)} may only read`);
    }
    await next();
  };
}
