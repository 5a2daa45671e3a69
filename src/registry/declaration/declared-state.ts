/** The declared document in the registry: its items as sent and as parsed, and the versions of its changes. */
import { DEFAULT_CALLER_LIMITS, type DeclarationRecord, type RouteRecord } from '../../model/declaration.js';
import type { DeclaredDocument } from '../types.js';
import { validateRoute } from '../validation/validate-declaration.js';

/** Number of applied changes whose fingerprints are kept, so that a resent change is recognized. */
const MAX_REMEMBERED_VERSIONS = 10_000;

/** Snapshot format of the declared state. */
export interface DeclaredImage {
  readonly record: DeclarationRecord;
  readonly limits: unknown;
  readonly routes: readonly { readonly source: unknown; readonly record: RouteRecord }[];
  readonly services: readonly { readonly name: string; readonly source: unknown }[];
  /** Version and fingerprint of each recorded change, oldest first. */
  readonly versions: readonly (readonly [number, string])[];
}

const EMPTY_DECLARATION: DeclarationRecord = { version: 0, limits: DEFAULT_CALLER_LIMITS, revision: 0 };

export class DeclaredState {
  /** Has version 0 until a document is declared. */
  record: DeclarationRecord = EMPTY_DECLARATION;
  /** The limits as they were sent. */
  limitsSource: unknown = null;
  readonly routes = new Map<string, RouteRecord>();
  readonly routeSources = new Map<string, unknown>();
  readonly serviceSources = new Map<string, unknown>();
  readonly #versions = new Map<number, string>();

  /** Whether a change with this version and fingerprint was already applied. */
  wasApplied(version: number, fingerprint: string): boolean {
    return this.#versions.get(version) === fingerprint;
  }

  recordVersion(version: number, fingerprint: string): void {
    this.#versions.set(version, fingerprint);
    for (const [oldest] of this.#versions) {
      if (this.#versions.size <= MAX_REMEMBERED_VERSIONS) {
        return;
      }
      this.#versions.delete(oldest);
    }
  }

  document(): DeclaredDocument | null {
    if (this.record.version === 0) {
      return null;
    }
    return {
      version: this.record.version,
      routes: [...this.routeSources.values()],
      services: [...this.serviceSources.values()],
      limits: this.limitsSource,
    };
  }

  /** `null` until a document is declared. */
  toImage(): DeclaredImage | null {
    if (this.record.version === 0) {
      return null;
    }
    return {
      record: this.record,
      limits: this.limitsSource,
      routes: [...this.routes].map(([name, record]) => ({ source: this.routeSources.get(name), record })),
      services: [...this.serviceSources].map(([name, source]) => ({ name, source })),
      versions: [...this.#versions],
    };
  }

  static fromImage(image: DeclaredImage): DeclaredState {
    const state = new DeclaredState();
    state.record = image.record;
    state.limitsSource = image.limits;
    for (const { source, record } of image.routes) {
      state.routes.set(record.definition.name, withRepeatable(record, source));
      state.routeSources.set(record.definition.name, source);
    }
    for (const { name, source } of image.services) {
      state.serviceSources.set(name, source);
    }
    for (const [version, fingerprint] of image.versions) {
      state.recordVersion(version, fingerprint);
    }
    return state;
  }
}

/** Earlier releases kept something else than a boolean for types that they accepted by mistake. */
function withRepeatable(record: RouteRecord, source: unknown): RouteRecord {
  const repeatable: unknown = record.definition.repeatable;
  return typeof repeatable === 'boolean'
    ? record
    : { ...record, definition: validateRoute('routes', source) };
}
