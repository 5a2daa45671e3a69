/** Replaces a file atomically: after a crash, either the old or the new content is complete. */
import { dirname } from 'node:path';
import type { FileSystem } from './file-system.js';

/** Suffix of temporary files; any found when a folder is opened were left by a crash. */
export const UNFINISHED_SUFFIX = '.unfinished';

/** Writes a temporary file next to the path, syncs it, renames it, and syncs the folder. */
export async function replaceFile(
  files: FileSystem,
  path: string,
  parts: readonly Uint8Array[],
): Promise<void> {
  const temporaryPath = path + UNFINISHED_SUFFIX;
  const file = await files.create(temporaryPath);
  try {
    for (const part of parts) {
      await file.append(part);
    }
    await file.sync();
  } finally {
    await file.close();
  }
  await files.rename(temporaryPath, path);
  await files.syncFolder(dirname(path));
}
