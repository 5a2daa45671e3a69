/** What the daemons' bundles have in place of the large parts of libraries that they never use. */

/** Modules by the path that asks for them, each with what takes its place. */
const REPLACEMENTS = [
  {
    filter: /^undici$/,
    contents: `export { default as Agent } from 'undici/lib/dispatcher/agent.js';
      export { default as Pool } from 'undici/lib/dispatcher/pool.js';
      export { default as buildConnector } from 'undici/lib/core/connect.js';`,
  },
  // Upstreams are spoken to in HTTP/1.1 alone.
  { filter: /client-h2(?:\.js)?$/, importer: /undici/, contents: 'module.exports = () => {};' },
  { filter: /^(?:node:)?http2$/, contents: 'module.exports = { constants: {} };' },
  {
    filter: /locales\/index\.js$/,
    importer: /\/zod\//,
    contents: "export { default as en } from 'zod/v4/locales/en.js';",
  },
  // koa looks up the types of answers that it makes itself: JSON and text.
  {
    filter: /^mime-db$/,
    contents: `module.exports = {
      'application/json': { source: 'iana', charset: 'UTF-8', compressible: true, extensions: ['json', 'map'] },
      'application/octet-stream': { source: 'iana', compressible: false, extensions: ['bin'] },
      'text/html': { source: 'iana', compressible: true, extensions: ['html', 'htm'] },
      'text/plain': { source: 'iana', compressible: true, extensions: ['txt'] },
    };`,
  },
];

export const leanLibraries = {
  name: 'lean-libraries',
  setup({ onResolve, onLoad }) {
    REPLACEMENTS.forEach(({ filter, importer, contents }, index) => {
      const path = `replacement-${index}`;
      onResolve({ filter }, (asked) =>
        importer === undefined || importer.test(asked.importer) ? { path, namespace: 'lean' } : undefined,
      );
      onLoad({ filter: new RegExp(`^${path}$`), namespace: 'lean' }, () => ({
        contents,
        resolveDir: process.cwd(),
      }));
    });
  },
};
