/** Cuts an append request that is too large for one frame into several that follow on one another. */
import type { AppendRequest, LogEntry } from '../../consensus/types.js';

/** Bytes of an entry in a frame beside its data, and of a request beside its entries; generous. */
const ENTRY_OVERHEAD_BYTES = 32;
const REQUEST_OVERHEAD_BYTES = 4096;

/** Requests of about `maxBytes` at most each; an entry that is larger by itself stands alone. */
export function splitAppend(request: AppendRequest, maxBytes: number): AppendRequest[] {
  const room = maxBytes - REQUEST_OVERHEAD_BYTES;
  const parts: LogEntry[][] = [[]];
  let used = 0;
  for (const entry of request.entries) {
    const size = entry.data.length + ENTRY_OVERHEAD_BYTES;
    if (used > 0 && used + size > room) {
      parts.push([]);
      used = 0;
    }
    parts[parts.length - 1]?.push(entry);
    used += size;
  }
  return parts.length === 1 ? [request] : chain(request, parts);
}

function chain(request: AppendRequest, parts: readonly LogEntry[][]): AppendRequest[] {
  let { previousIndex, previousTerm } = request;
  return parts.map((entries) => {
    const part = { ...request, previousIndex, previousTerm, entries };
    const last = entries[entries.length - 1];
    previousIndex = last?.index ?? previousIndex;
    previousTerm = last?.term ?? previousTerm;
    return part;
  });
}
