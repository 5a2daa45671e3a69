/** Splits an append request that is too large for one frame into several consecutive requests. */
import type { AppendRequest, LogEntry } from '../../consensus/types.js';

/** Upper bounds of the encoded size of an entry without its data, and of a request without its entries. */
const ENTRY_OVERHEAD_BYTES = 32;
const REQUEST_OVERHEAD_BYTES = 4096;

/** Returns requests of about `maxBytes` or less; an entry that alone exceeds this gets a request of its own. */
export function splitAppend(request: AppendRequest, maxBytes: number): AppendRequest[] {
  const maxEntryBytes = maxBytes - REQUEST_OVERHEAD_BYTES;
  const parts: LogEntry[][] = [[]];
  let usedBytes = 0;
  for (const entry of request.entries) {
    const size = entry.data.length + ENTRY_OVERHEAD_BYTES;
    if (usedBytes > 0 && usedBytes + size > maxEntryBytes) {
      parts.push([]);
      usedBytes = 0;
    }
    parts[parts.length - 1]?.push(entry);
    usedBytes += size;
  }
  return parts.length === 1 ? [request] : toConsecutiveRequests(request, parts);
}

function toConsecutiveRequests(request: AppendRequest, parts: readonly LogEntry[][]): AppendRequest[] {
  let { previousIndex, previousTerm } = request;
  return parts.map((entries) => {
    const part = { ...request, previousIndex, previousTerm, entries };
    const last = entries[entries.length - 1];
    previousIndex = last?.index ?? previousIndex;
    previousTerm = last?.term ?? previousTerm;
    return part;
  });
}
