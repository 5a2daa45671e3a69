/** Addresses of the upstreams, for probes and for closing connection pools. Routing itself uses only the core's own state. */
import type { SyncResponse } from '../../control/messages.js';
import type { Address, Revision, UpstreamId } from '../../model/identifiers.js';
import type { UpstreamRecord } from '../../registry/types.js';

export class UpstreamDirectory {
  private readonly addresses = new Map<UpstreamId, Address>();
  private revision: Revision = 0;

  /** Applies a control member's response. Returns whether any address may have changed. */
  applyUpdate(response: Pick<SyncResponse, 'snapshot' | 'delta'>): boolean {
    const { snapshot, delta } = response;
    if (snapshot !== null && snapshot.revision >= this.revision) {
      this.revision = snapshot.revision;
      this.replace(snapshot.upstreams);
      return true;
    }
    if (delta === null || delta.from > this.revision || delta.to <= this.revision) {
      return false;
    }
    this.revision = delta.to;
    const changes = delta.changes.filter((change) => change.type === 'upstream');
    for (const { id, record } of changes) {
      this.set(id, record);
    }
    return changes.length > 0;
  }

  list(): ReadonlyMap<UpstreamId, Address> {
    return this.addresses;
  }

  private replace(records: readonly UpstreamRecord[]): void {
    this.addresses.clear();
    for (const record of records) {
      this.set(record.definition.id, record);
    }
  }

  private set(id: UpstreamId, record: UpstreamRecord | null): void {
    if (record === null) {
      this.addresses.delete(id);
    } else {
      this.addresses.set(id, record.definition.address);
    }
  }
}
