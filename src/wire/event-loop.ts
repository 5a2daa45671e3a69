/** Waits for the event loop. */
import { setImmediate as nextImmediate } from 'node:timers/promises';

/** Resolves after sockets and signals were looked at once more: the first immediate may come before that. */
export async function nextTurn(): Promise<void> {
  await nextImmediate();
  await nextImmediate();
}
