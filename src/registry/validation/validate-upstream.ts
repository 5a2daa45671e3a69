/** Validates upstream definitions. The result contains only the known fields, in a fixed order. */
import { isIP } from 'node:net';
import type { Address } from '../../model/identifiers.js';
import type { UpstreamDefinition } from '../../model/service.js';
import type { ServiceRecord } from '../types.js';
import { checkBoolean, checkDistinct, checkList, checkName, checkObject, fail } from './field-checks.js';
import { SERVICE_LIMITS } from './validate-service.js';

const MAX_PORT = 65_535;
const ADDRESS_PATTERN = /^(.+):(\d{1,5})$/;
const BRACKETED_PATTERN = /^\[(.+)\]$/;

/** Finds a declared service. */
export type ServiceLookup = (name: string) => ServiceRecord | undefined;

/** Validates a definition; throws an `InvalidDefinitionError` with the path of the first invalid field. */
export function validateUpstream(input: unknown, findService: ServiceLookup): UpstreamDefinition {
  const fields = checkObject('definition', input);
  const id = checkName('id', fields.id);
  const serviceName = checkName('service', fields.service);
  const service = findService(serviceName) ?? fail('service', `there is no service ${serviceName}`);
  return {
    id,
    service: serviceName,
    address: checkAddress(fields.address),
    zone: checkName('zone', fields.zone),
    mayHold: checkMayHold(fields.mayHold, service),
    leaving: checkBoolean('leaving', fields.leaving),
  };
}

function checkAddress(value: unknown): Address {
  const match = typeof value === 'string' ? ADDRESS_PATTERN.exec(value) : null;
  if (!match) {
    fail('address', 'must be an IP number, a colon and a port');
  }
  const [address, host, port] = match as unknown as [string, string, string];
  const inBrackets = BRACKETED_PATTERN.exec(host)?.[1];
  const isHost = inBrackets === undefined ? isIP(host) === 4 : isIP(inBrackets) === 6;
  if (!isHost) {
    fail('address', 'the host must be an IP number (IPv6 in brackets)');
  }
  if (Number(port) < 1 || Number(port) > MAX_PORT) {
    fail('address', `the port must be from 1 to ${MAX_PORT}`);
  }
  return address;
}

function checkMayHold(value: unknown, service: ServiceRecord): string[] {
  const known = new Set(service.definition.keyspaces.map((keyspace) => keyspace.name));
  const names = checkList('mayHold', value, SERVICE_LIMITS.keyspaces).map((item, position) => {
    const place = `mayHold[${position}]`;
    const name = checkName(place, item);
    return known.has(name) ? name : fail(place, `${service.definition.name} has no keyspace ${name}`);
  });
  checkDistinct('mayHold', names, 'name');
  return names;
}
