/** `GET /ternmount/v1/health`, which routers use as a hint. */
import type { ServerResponse } from 'node:http';
import { HEADERS } from '../model/outcome.js';
import type { FenceStatus } from './fence.js';
import { writeJson } from './refusal.js';

const OK = 200;
const SERVICE_UNAVAILABLE = 503;

/** Responds with 200 while the server accepts new work, and with 503 while it refuses it. */
export function writeHealth(response: ServerResponse, status: FenceStatus): void {
  response.setHeader(HEADERS.load, status.load);
  writeJson(response, status.state === 'draining' ? SERVICE_UNAVAILABLE : OK, status);
}
