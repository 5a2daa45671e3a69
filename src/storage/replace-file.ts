/** Puts a whole file in place at once: after a crash there is the old one or the new one, never a piece. */
import { dirname } from 'node:path';
import type { FileSystem } from './file-system.js';

/** Ending of files that aren't in place yet; those found when a folder is opened are left over from a crash. */
export const UNFINISHED_SUFFIX = '.unfinished';

/** Writes beside the path, syncs, renames, and syncs the folder. */
export async function replaceFile(
  files: FileSystem,
  path: string,
  parts: readonly Uint8Array[],
): Promise<void> {
  const unfinished = path + UNFINISHED_SUFFIX;
  const file = await files.create(unfinished);
  try {
    for (const part of parts) {
      await file.append(part);
    }
    await file.sync();
  } finally {
    await file.close();
  }
  await files.rename(unfinished, path);
  await files.syncFolder(dirname(path));
}
