/** What the registry keeps of the declared document: the items as they were sent, their versions, and what they mean. */
import { DEFAULT_CALLER_LIMITS, type DeclarationRecord, type RouteRecord } from '../../model/declaration.js';
import type { DeclaredDocument } from '../types.js';

/** Versions whose content is remembered, so that a resent change is known. */
const MAX_REMEMBERED_VERSIONS = 10_000;

/** The declared state as snapshots hold it. */
export interface DeclaredImage {
  readonly record: DeclarationRecord;
  readonly limits: unknown;
  readonly routes: readonly { readonly source: unknown; readonly record: RouteRecord }[];
  readonly services: readonly { readonly name: string; readonly source: unknown }[];
  /** Version and fingerprint of each change that is remembered, oldest first. */
  readonly versions: readonly (readonly [number, string])[];
}

const EMPTY_DECLARATION: DeclarationRecord = { version: 0, limits: DEFAULT_CALLER_LIMITS, revision: 0 };

export class DeclaredState {
  /** Version 0 until something was declared. */
  record: DeclarationRecord = EMPTY_DECLARATION;
  /** As it was sent. */
  limitsSource: unknown = null;
  readonly routes = new Map<string, RouteRecord>();
  readonly routeSources = new Map<string, unknown>();
  readonly serviceSources = new Map<string, unknown>();
  readonly #versions = new Map<number, string>();

  /** Whether this very change was taken before. */
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

  /** `null` while nothing was declared. */
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
      state.routes.set(record.definition.name, record);
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
