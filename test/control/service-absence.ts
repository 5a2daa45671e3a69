/** Changes of the declared document that take a keyed service away and bring it back. */
import type { DeclarationChange } from '../../src/registry/types.js';

/** Ways in which a service ceases to own keys. */
export const ABSENCES = {
  patched: 'removed by name',
  whole: 'left out of a whole document',
  unkeyed: 'declared without keys',
} as const;
export type Absence = (typeof ABSENCES)[keyof typeof ABSENCES];

type Fields = Partial<Omit<DeclarationChange, 'type' | 'version' | 'expected'>>;

/** Builds the next change of a document; `retiresRanges` as today's admin API sends it. */
export function changeOf(version: number, fields: Fields): DeclarationChange {
  return {
    type: 'declaration-apply',
    version,
    expected: version - 1,
    extent: 'partial',
    routes: [],
    services: [],
    limits: null,
    removedRoutes: [],
    removedServices: [],
    retiresRanges: true,
    ...fields,
  };
}

const FIELDS: Readonly<Record<Absence, (service: string) => Fields>> = {
  [ABSENCES.patched]: (service) => ({ removedServices: [service] }),
  [ABSENCES.whole]: () => ({ extent: 'whole' }),
  [ABSENCES.unkeyed]: (service) => ({ services: [{ name: service, keyed: false }] }),
};

export function absenceOf(service: string, absence: Absence, version: number): DeclarationChange {
  return changeOf(version, FIELDS[absence](service));
}

/** Declares the service with keys again; `declared` holds further fields. */
export function returnOf(service: string, version: number, declared: object = {}): DeclarationChange {
  return changeOf(version, { services: [{ name: service, keyed: true, ...declared }] });
}
