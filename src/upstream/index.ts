/** The fence embedded by servers that own keys. docs/UPSTREAM-PROTOCOL.md describes its protocol. */
export { HEALTH_PATH } from '../model/health-path.js';
export { createFence, Fence, type FenceStatus, SESSION_PATH } from './fence.js';
export type { DrainOptions, FenceOptions } from './fence-options.js';
export { DeadlinePassedError, type GuardedRequest, RequestCancelledError } from './guarded-request.js';
export { createKoaMiddleware, type GuardedState } from './koa-middleware.js';
export { createNodeHandler, type GuardedHandler } from './node-handler.js';
export { createServerStop, type ServerStop, type ServerStopOptions } from './server-stop.js';
