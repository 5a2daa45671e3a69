/** Renders the templates of `platform/` from the fields of a machine, as DEPLOY.md describes them. */
const SECTION = /\{\{([#^])([^}]+)\}\}([\s\S]*?)\{\{\/\2\}\}/;
const GAP = /\{\{([^}#^/,][^}]*)\}\}/g;

export function render(text, fields, scope = []) {
  let rest = text;
  let out = '';
  for (let match = SECTION.exec(rest); match !== null; match = SECTION.exec(rest)) {
    out += gaps(rest.slice(0, match.index), fields, scope);
    out += section(match, fields, scope);
    rest = rest.slice(match.index + match[0].length);
  }
  return out + gaps(rest, fields, scope);
}

function section([, kind, name, inner], fields, scope) {
  const value = lookUp(name, fields, scope);
  const isGiven = value !== undefined && value !== null && value !== false;
  if (kind === '^') {
    return isGiven ? '' : render(inner, fields, scope);
  }
  if (!isGiven) {
    return '';
  }
  if (typeof value !== 'object') {
    return render(inner, fields, scope);
  }
  const entries = Object.entries(value);
  return entries
    .map(([key, entry], position) => {
      const comma = position < entries.length - 1 ? ',' : '';
      return render(inner.replaceAll('{{,}}', comma), fields, [{ key, entry }, ...scope]);
    })
    .join('');
}

function gaps(text, fields, scope) {
  return text.replace(GAP, (_gap, words) => {
    const [name, form] = words.split('|');
    const value = lookUp(name, fields, scope);
    if (form === 'json') {
      return JSON.stringify(value ?? null);
    }
    if (value === undefined || value === null) {
      return '';
    }
    if (Array.isArray(value)) {
      return value.join(',');
    }
    return typeof value === 'object' ? JSON.stringify(value) : String(value);
  });
}

function lookUp(name, fields, scope) {
  if (name === '@') {
    return scope[0]?.key;
  }
  if (name === '.') {
    return scope.length > 0 ? scope[0].entry : fields;
  }
  return name.split('.').reduce((value, part) => value?.[part], fields);
}
