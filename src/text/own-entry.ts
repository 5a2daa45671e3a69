/** Lookup of names that come from outside in tables that are plain objects. */

/** Returns the table's own entry of a name; `undefined` for all others, also those that every object inherits, such as `constructor`. */
export function ownEntry<Value>(table: Readonly<Record<string, Value>>, name: string): Value | undefined {
  return Object.hasOwn(table, name) ? table[name] : undefined;
}
