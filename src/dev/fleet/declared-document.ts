/** The declared document of a fleet whose requests go by routes: one route to each service. */
import type { Deployment } from '../../settings/deployment.js';
import { hostOfRoute } from '../standins/caller/request-form.js';

/** Upstreams that one request may be sent to. */
const ATTEMPTS = 3;
/** Share of a route's timeout within which an answer is worth most. */
const TARGET_SHARE = 0.5;

export const FIRST_VERSION = 1;

/** Route to a service; requests are addressed to it by its host. `priority` is what a fleet's operator changes. */
export function routeTo(service: Deployment['services'][number], priority: number): object {
  const { name, repeatable, deadlineMillis } = service;
  return {
    name,
    host: hostOfRoute(name),
    prefix: '/',
    type: repeatable ? 'safe' : 'unsafe',
    timeoutMillis: deadlineMillis,
    targetMillis: Math.round(deadlineMillis * TARGET_SHARE),
    attempts: ATTEMPTS,
    priority,
    service: name,
  };
}

export function declaredDocument({ services }: Deployment): object {
  return {
    version: FIRST_VERSION,
    routes: services.map((service) => routeTo(service, 1)),
    services: services.map(({ name }) => ({ name })),
  };
}
