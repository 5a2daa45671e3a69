/** The operator HTTP API of a control member. */
export { type AdminAppOptions, createAdminApp, type MetricsSource } from './admin-app.js';
export type { AdminErrorBody, AdminErrorCode } from './admin-error.js';
