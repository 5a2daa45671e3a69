/** Fills the templates of `platform/` from a machine's fields, as the users' platform does at each start. */
const SECTION = /\{\{([#^])([^}]+)\}\}([\s\S]*?)\{\{\/\2\}\}/;
const GAP = /\{\{([^}#^/,][^}]*)\}\}/g;

export type Fields = Readonly<Record<string, unknown>>;

interface Scope {
  readonly key: string;
  readonly entry: unknown;
}

export function fillTemplate(text: string, fields: Fields, scope: Scope | null = null): string {
  let rest = text;
  let filled = '';
  for (let match = SECTION.exec(rest); match !== null; match = SECTION.exec(rest)) {
    const [whole, kind = '', name = '', inner = ''] = match;
    filled += fillGaps(rest.slice(0, match.index), fields, scope);
    filled += fillSection(kind, inner, lookUp(name, fields, scope), fields);
    rest = rest.slice(match.index + whole.length);
  }
  return filled + fillGaps(rest, fields, scope);
}

function fillSection(kind: string, inner: string, value: unknown, fields: Fields): string {
  const isGiven = value !== undefined && value !== null && value !== false;
  if (kind === '^') {
    return isGiven ? '' : fillTemplate(inner, fields);
  }
  if (!isGiven) {
    return '';
  }
  if (typeof value !== 'object') {
    return fillTemplate(inner, fields);
  }
  const entries = Object.entries(value as object);
  return entries
    .map(([key, entry], index) => {
      const comma = index < entries.length - 1 ? ',' : '';
      return fillTemplate(inner.replaceAll('{{,}}', comma), fields, { key, entry });
    })
    .join('');
}

function fillGaps(text: string, fields: Fields, scope: Scope | null): string {
  return text.replace(GAP, (_gap, words: string) => {
    const [name = '', form] = words.split('|');
    const value = lookUp(name, fields, scope);
    if (form === 'json' || (typeof value === 'object' && value !== null && !Array.isArray(value))) {
      return JSON.stringify(value ?? null);
    }
    return value === undefined || value === null ? '' : String(value);
  });
}

function lookUp(name: string, fields: Fields, scope: Scope | null): unknown {
  if (name === '@') {
    return scope?.key;
  }
  if (name === '.') {
    return scope?.entry ?? fields;
  }
  return name.split('.').reduce<unknown>((value, part) => (value as Fields | undefined)?.[part], fields);
}
