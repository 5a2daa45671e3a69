/** Writes docs/operators/log-events.md from the table of events. Run after `npm run build`. */
import { writeFileSync } from 'node:fs';
import { EVENTS } from '../build/src/logging/events.js';

const rows = Object.entries(EVENTS).map(
  ([name, { source, fields }]) =>
    `| \`${name}\` | ${source} | ${fields.map((field) => `\`${field}\``).join(', ')} |`,
);
const page = `# Log events

Daemons write one JSON object a line to standard output. Each has \`time\` (the time of day, which may jump), \`level\`, \`process\`,
\`zone\`, \`namespace\`, \`event\` and the fields below. Fields that end in \`Millis\` are milliseconds. \`attempts\` is a list: \`attempt\`,
\`upstream\`, \`revision\` of the configuration that chose it, \`fence\`, \`sentAt\` and \`endedAt\` in milliseconds after the request
came, \`connection\` (its number within the process), \`earlierRequests\` (how many that connection had carried before) and \`result\`. How to go from a request's id to its cause: [operations](../OPERATIONS.md).

Writing never waits: a line that its reader is too slow for is dropped and counted
(\`ternmount_router_log_lines_dropped\`). Of each event at most 50 records a second are written, of ordinary answers 2;
\`records-dropped\` says of which there were more; ordinary answers beyond their 2 aren't counted there, but in the metrics.

| event | process | fields |
|---|---|---|
${rows.join('\n')}
`;
writeFileSync('docs/operators/log-events.md', page);
