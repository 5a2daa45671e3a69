/** Formats the differences between two declarations, one line per value. */
import type { DocumentMap, DocumentValue } from '../settings/definition-writer.js';

function pathSegmentOf(item: DocumentValue, index: number): string {
  const name = typeof item === 'object' && 'name' in item ? item.name : index;
  return `[${String(name)}]`;
}

/** Collects each scalar by its path. List items are identified by name if they have one, else by index. */
function flatten(value: DocumentValue, path: string, result: Map<string, string>): Map<string, string> {
  if (Array.isArray(value)) {
    value.forEach((item: DocumentValue, index) => {
      flatten(item, path + pathSegmentOf(item, index), result);
    });
  } else if (typeof value === 'object') {
    for (const [key, child] of Object.entries(value)) {
      flatten(child as DocumentValue, path === '' ? key : `${path}.${key}`, result);
    }
  } else {
    result.set(path, JSON.stringify(value));
  }
  return result;
}

function lineOf(path: string, before: string | undefined, after: string | undefined): string | undefined {
  if (before === after) {
    return undefined;
  }
  if (before === undefined) {
    return `+ ${path}: ${after}`;
  }
  return after === undefined ? `- ${path}: ${before}` : `~ ${path}: ${before} -> ${after}`;
}

/** Returns lines marked `+` (added), `-` (removed) or `~` (changed). `null` stands for an object that doesn't exist. */
export function differenceLines(before: DocumentMap | null, after: DocumentMap | null): string[] {
  const oldValues = flatten(before ?? {}, '', new Map());
  const newValues = flatten(after ?? {}, '', new Map());
  const paths = [...new Set([...oldValues.keys(), ...newValues.keys()])];
  return paths
    .map((path) => lineOf(path, oldValues.get(path), newValues.get(path)))
    .filter((line) => line !== undefined);
}
