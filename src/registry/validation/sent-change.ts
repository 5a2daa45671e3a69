/**
 * Checks of what operators send, before it is put into the log. Entries of the log aren't held to them, since earlier releases accepted
 * more.
 */
import { toError } from '../../errors/ternmount-error.js';
import type { ServiceName } from '../../model/identifiers.js';
import type { DeclarationChange, OperatorCommand, Registry } from '../types.js';
import { fail } from './field-checks.js';
import { checkSentRouteType } from './validate-declaration.js';
import { checkShape, SENT_LIMITS } from './value-shape.js';

/** Characters that the target of an HTTP request can hold. */
const REQUEST_TARGET = /^[\u0021-\u00ff]*$/;

/** Returns why a change must not enter the log, with the place; `null` if it may. */
export function problemOfChange({ routes, services, limits }: DeclarationChange): string | null {
  return problemOf(() => {
    checkShape('routes', routes, SENT_LIMITS);
    checkShape('services', services, SENT_LIMITS);
    checkShape('limits', limits, SENT_LIMITS);
    routes.forEach(checkType);
    services.forEach(checkHealthPath);
  });
}

/** Returns why a command must not enter the log, with the place; `null` if it may. */
export function problemOfCommand(command: OperatorCommand): string | null {
  return problemOf(() => checkShape('command', command, SENT_LIMITS));
}

/**
 * Returns why a command for a single service must not enter the log; `null` if it may. Where the declared document divides the keys of the
 * service, upstreams may hold them under grants that the entry would leave without a leader.
 */
export function problemOfOwnedKeys(
  command: OperatorCommand,
  registry: Pick<Registry, 'ranges'>,
): string | null {
  const service = changedService(command);
  return service === null || registry.ranges(service).length === 0
    ? null
    : `service: the keys of ${service} are divided by the declared document; change it there`;
}

/** Returns the service that a command declares or deletes, as sent. */
function changedService(command: OperatorCommand): ServiceName | null {
  switch (command.type) {
    case 'service-apply':
      return command.definition.name;
    case 'service-delete':
      return command.service;
    default:
      return null;
  }
}

/** Whatever else is wrong with a route is found when the change is applied. */
function checkType(route: unknown, position: number): void {
  const { type } = (route ?? {}) as { readonly type?: unknown };
  if (typeof type === 'string') {
    checkSentRouteType(`routes[${position}].type`, type);
  }
}

/** A path that can't stand in a request would only fail where it is used. */
function checkHealthPath(service: unknown, position: number): void {
  const { healthPath } = (service ?? {}) as { readonly healthPath?: unknown };
  if (typeof healthPath === 'string' && !REQUEST_TARGET.test(healthPath)) {
    fail(
      `services[${position}].healthPath`,
      'must not hold blanks, control characters or characters beyond U+00FF',
    );
  }
}

function problemOf(check: () => void): string | null {
  try {
    check();
    return null;
  } catch (thrown) {
    return toError(thrown).message;
  }
}
