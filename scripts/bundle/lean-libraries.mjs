/** What the daemons' bundles have in place of the large parts of libraries that they never use. */

const PLAIN_METRICS = `export { default as Counter } from 'prom-client/lib/counter.js';
  export { default as Gauge } from 'prom-client/lib/gauge.js';
  export { default as Histogram } from 'prom-client/lib/histogram.js';
  export { default as Registry } from 'prom-client/lib/registry.js';`;

/** Modules by the path that asks for them, each with what takes its place. */
const REPLACEMENTS = [
  {
    filter: /^undici$/,
    contents: `export { default as Agent } from 'undici/lib/dispatcher/agent.js';
      export { default as Client } from 'undici/lib/dispatcher/client.js';
      export { default as Pool } from 'undici/lib/dispatcher/pool.js';
      export { default as buildConnector } from 'undici/lib/core/connect.js';
      export { default as errors } from 'undici/lib/core/errors.js';`,
  },
  // Upstreams are spoken to in HTTP/1.1 alone.
  { filter: /client-h2(?:\.js)?$/, importer: /undici/, contents: 'module.exports = () => {};' },
  { filter: /^(?:node:)?http2$/, contents: 'module.exports = { constants: {} };' },
  {
    filter: /locales\/index\.js$/,
    importer: /\/zod\//,
    contents: "export { default as en } from 'zod/v4/locales/en.js';",
  },
  // Metrics are read from the daemons, never pushed, and each is a process of its own. Only control counts what the runtime does.
  {
    filter: /^prom-client$/,
    importer: /\/src\/router\//,
    contents: PLAIN_METRICS,
  },
  {
    filter: /^prom-client$/,
    contents: `${PLAIN_METRICS}
      export { default as collectDefaultMetrics } from 'prom-client/lib/defaultMetrics.js';`,
  },
  // Every stream of node can be destroyed; the library looks for those of earlier versions, with file streams and zlib.
  {
    filter: /^destroy$/,
    importer: /\/koa\//,
    contents: 'module.exports = (stream) => { stream?.destroy?.(); return stream; };',
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
