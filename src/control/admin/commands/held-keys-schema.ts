/** Schema of the keys that an upstream reports in a heartbeat, as rows; all rows are validated before any is applied. */
import { z } from 'zod';
import type { HeldKeys } from '../../../model/held-keys.js';
import { MAX_KEY } from '../../../model/key-range.js';

/** Maximum rows of one list: far more than are ever assigned to an upstream. */
const MAX_ROWS = 1024;
const MAX_HANDOVER_CHARACTERS = 256;

const keySchema = z
  .int({ error: 'expected a whole number' })
  .min(0, 'must be 0 or more')
  .max(MAX_KEY, `must be ${MAX_KEY} or less`);
const fenceSchema = z.int({ error: 'expected a whole number' }).min(0, 'must be 0 or more');
const handoverSchema = z.string({ error: 'expected text' }).max(MAX_HANDOVER_CHARACTERS);

const heldRowSchema = z.tuple([keySchema, keySchema, fenceSchema]);
const releasedRowSchema = z.tuple([keySchema, keySchema, handoverSchema.nullish()]);

/** Fields of a heartbeat besides those that identify the upstream. */
export const heldKeysFields = {
  sequence: z.int({ error: 'expected a whole number' }).min(0, 'must be 0 or more').optional(),
  holds: z
    .array(heldRowSchema)
    .max(MAX_ROWS, `must be ${MAX_ROWS} rows or less`)
    .superRefine(checkHeld)
    .optional(),
  released: z
    .array(releasedRowSchema)
    .max(MAX_ROWS, `must be ${MAX_ROWS} rows or less`)
    .superRefine(checkOrder)
    .optional(),
};

type Row = readonly [number, number, ...unknown[]];
type HeldRow = z.output<typeof heldRowSchema>;

interface HeldFields {
  readonly sequence?: number | undefined;
  readonly holds?: readonly HeldRow[] | undefined;
  readonly released?: readonly z.output<typeof releasedRowSchema>[] | undefined;
}

/** Returns the keys that a heartbeat reports; `null` without a sequence number, which late heartbeats are detected by. */
export function heldKeysOf({ sequence, holds, released = [] }: HeldFields): HeldKeys | null {
  if (sequence === undefined) {
    return null;
  }
  return {
    sequence,
    held: holds?.map(([from, to, fence]) => ({ from, to, fence })) ?? null,
    released: released.map(([from, to, handover]) => ({ from, to, handover: handover || null })),
  };
}

function checkOrder(rows: readonly Row[], context: z.RefinementCtx): void {
  rows.forEach(([from, to], position) => {
    if (to < from) {
      context.addIssue({ code: 'custom', path: [position], message: `ends at ${to}, before it begins` });
    }
  });
}

/**
 * Overlapping rows are read as their union. Rows with the same fence may overlap only if one contains the other: a row is split when keys
 * are revoked from it, and the upstream reports the remaining parts beside the whole row while requests on the whole are in progress.
 * Rows with different fences may overlap in any way: an upstream that was assigned keys under a new fence may still have requests in
 * progress under the previous one.
 */
function checkHeld(rows: readonly HeldRow[], context: z.RefinementCtx): void {
  checkOrder(rows, context);
  const sorted = rows.map((row, position) => ({ row, position }));
  sorted.sort(({ row: one }, { row: other }) => one[2] - other[2] || one[0] - other[0] || other[1] - one[1]);
  /** Rows that contain the previous row, and that row itself, the widest first. */
  const enclosing: HeldRow[] = [];
  for (const { row, position } of sorted) {
    while (isDisjoint(enclosing.at(-1), row)) {
      enclosing.pop();
    }
    const outer = enclosing.at(-1);
    if (outer !== undefined && outer[1] < row[1]) {
      const message = `[${row.join(', ')}] shares keys with [${outer.join(', ')}]`;
      context.addIssue({ code: 'custom', path: [position], message });
    }
    enclosing.push(row);
  }
}

/** Returns whether a row has another fence than, or no key in common with, one that sorts after it by fence and first key. */
function isDisjoint(row: HeldRow | undefined, later: HeldRow): boolean {
  return row !== undefined && (row[2] !== later[2] || row[1] < later[0]);
}
