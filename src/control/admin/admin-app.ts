/** The operator HTTP API of a control member. */
import { Router } from '@koa/router';
import Koa from 'koa';
import { createLogger, type Logger } from '../../logging/logger.js';
import type { PolicyRule } from '../../model/service.js';
import type { TokenAuthority } from '../../security/operator-tokens.js';
import type { AdminServices, AdminState } from './admin-context.js';
import { AdminError } from './admin-error.js';
import { boundOperate, type Operate } from './bounded-operate.js';
import { addAnnouncementRoutes } from './commands/announcement-routes.js';
import { addDeclarationRoutes } from './commands/declaration-routes.js';
import { addEvacuationRoutes } from './commands/evacuation-routes.js';
import { addMemberCommands } from './commands/member-commands.js';
import { addQuarantineRoutes } from './commands/quarantine-routes.js';
import { addServiceCommands } from './commands/service-commands.js';
import { addShardCommands } from './commands/shard-commands.js';
import { addUpstreamCommands } from './commands/upstream-commands.js';
import { answerErrors, answerNotFound, auditWrites, authenticate, HEALTH_PATH } from './middlewares.js';
import { findPolicyFaults } from './policy-check.js';
import { addDefinitionQueries } from './queries/definition-queries.js';
import { addStateQueries } from './queries/state-queries.js';

/** Source of `/metrics`, such as a `Registry` of `prom-client`. */
export interface MetricsSource {
  readonly contentType: string;
  metrics(): Promise<string>;
}

export interface AdminAppOptions {
  /** Without it or with `null`, requests need no token. */
  readonly tokens?: TokenAuthority | null;
  /** Returns the faults of a policy program, one line each. The default compiles the program. */
  readonly checkPolicy?: (policy: readonly PolicyRule[]) => readonly string[];
  readonly metrics?: MetricsSource;
  readonly logger?: Logger;
  /** Receives one record for each change; the default writes at every log level. */
  readonly auditLogger?: Logger;
  readonly bodyLimitBytes?: number;
  readonly operationTimeoutMillis?: number;
  readonly maximumOperations?: number;
}

const DEFAULT_BODY_LIMIT_BYTES = 1024 * 1024;
const DEFAULT_OPERATION_TIMEOUT_MILLIS = 15_000;
const DEFAULT_MAXIMUM_OPERATIONS = 256;

function addHealthAndMetricsRoutes(router: Router<AdminState>, metrics: MetricsSource | undefined): void {
  router.get(HEALTH_PATH, (context) => {
    context.body = { alive: true };
  });
  router.get('/metrics', async (context) => {
    if (metrics === undefined) {
      throw new AdminError('not-found', 'there are no metrics');
    }
    context.body = await metrics.metrics();
    context.type = metrics.contentType;
  });
}

function createRouter(services: AdminServices, metrics: MetricsSource | undefined): Router<AdminState> {
  const router = new Router<AdminState>();
  addServiceCommands(router, services);
  addUpstreamCommands(router, services);
  addShardCommands(router, services);
  addMemberCommands(router, services);
  addDefinitionQueries(router, services);
  addStateQueries(router, services);
  addDeclarationRoutes(router, services);
  addAnnouncementRoutes(router, services);
  addQuarantineRoutes(router, services);
  addEvacuationRoutes(router, services);
  addHealthAndMetricsRoutes(router, metrics);
  return router;
}

/** Creates the operator API on top of `operate`, which passes a request to the control core. */
export function createAdminApp(operate: Operate, options: AdminAppOptions = {}): Koa<AdminState> {
  const logger = options.logger ?? createLogger('admin');
  const auditLogger = options.auditLogger ?? createLogger('audit', { always: true });
  const bounds = {
    maximumOperations: options.maximumOperations ?? DEFAULT_MAXIMUM_OPERATIONS,
    operationTimeoutMillis: options.operationTimeoutMillis ?? DEFAULT_OPERATION_TIMEOUT_MILLIS,
  };
  const services: AdminServices = {
    operate: boundOperate(operate, bounds, logger),
    checkPolicy: options.checkPolicy ?? findPolicyFaults,
    bodyLimitBytes: options.bodyLimitBytes ?? DEFAULT_BODY_LIMIT_BYTES,
  };
  const router = createRouter(services, options.metrics);
  const app = new Koa<AdminState>();
  // Connections that failed or timed out during a request; by default koa prints them to stderr, outside the log.
  app.on('error', (error: Error) => logger.info('request-broken', { error }));
  app.use(answerErrors(logger));
  app.use(auditWrites(auditLogger, logger));
  app.use(authenticate(options.tokens ?? null));
  app.use(answerNotFound);
  app.use(router.routes());
  app.use(
    router.allowedMethods({
      throw: true,
      methodNotAllowed: () => new AdminError('method-not-allowed', 'this path does not take this method'),
      notImplemented: () => new AdminError('method-not-allowed', 'this path does not take this method'),
    }),
  );
  return app;
}
