/** Draws what nobody should send: requests, bodies and frames that are valid, nearly valid or nothing of the kind. Seeded. */
import fc from 'fast-check';

/** Names that plain objects inherit, and others that are rarely right. */
const NAMES = [
  'constructor',
  '__proto__',
  'toString',
  'menu',
  '',
  ' ',
  '\ud800',
  '一',
  'a'.repeat(5000),
  '../..',
];
const NUMBERS = ['-1', '0', '1e999', '9007199254740993', '0x10', '1,5', 'NaN', '18446744073709551616'];

const METHODS = ['GET', 'PUT', 'PATCH', 'POST', 'DELETE', 'HEAD', 'OPTIONS', 'TRACE', 'BREW', 'get'];
const PATHS = [
  '/v1/declaration',
  '/v1/services/menu',
  '/v1/services/__proto__',
  '/v1/upstreams/constructor',
  '/v1/upstreams/u1/heartbeat',
  '/v1/upstreams/__proto__/heartbeat',
  '/v1/upstreams/u1/withdraw',
  '/v1/evacuations/__proto__',
  '/v1/shards/move',
  '/v1/ledger/__proto__/constructor',
  '/v1/suspects/__proto__',
  '/v1/control/add',
  '/v1/shards?service=__proto__',
  '/v1/status',
  '/v1/members',
  '/metrics',
  '/menu/key-1',
  '/%00',
  '/%ff%fe',
  '*',
  'http://[::1',
  '//',
];
const HEADERS = [
  'content-length: -1',
  'content-length: 5\r\ncontent-length: 6',
  'transfer-encoding: chunked, chunked',
  'transfer-encoding: chunked\r\ncontent-length: 4',
  'if-match: 0',
  'if-match: "1"',
  'if-match: __proto__',
  '__proto__: 1',
  'constructor: 1',
  'content-type: application/json',
  'content-type: application/json; charset=utf-7',
  'expect: 100-continue',
  'upgrade: websocket\r\nconnection: upgrade',
  'ternmount-key: \u00ff',
  'ternmount-deadline: 1e999',
  'ternmount-request-id: __proto__',
  ': no name',
  'a b: blank',
  `long: ${'x'.repeat(70_000)}`,
];

const nestedText = fc
  .tuple(fc.constantFrom('[', '{"a":'), fc.constantFrom(3, 65, 3500, 50_000))
  .map(([open, depth]) => `${open.repeat(depth)}1${(open === '[' ? ']' : '}').repeat(depth)}`);
const oddText = fc.oneof(
  fc.constantFrom(...NAMES).map((name) => JSON.stringify(name)),
  fc.constantFrom(...NUMBERS),
  fc.jsonValue({ maxDepth: 4 }).map((value) => JSON.stringify(value)),
  nestedText,
);

const ROUTE = '"name":"r","host":"h","prefix":"/p/","type":"safe","timeoutMillis":1000,"service":"other"';
const SERVICE = '"name":"other","keyed":true,"healthPath":"/health"';
const HEARTBEAT = '"service":"other","address":"127.0.0.1:9","zone":"zone-1","slots":2,"state":"ready"';

/** A text of fields of which one or two are replaced or repeated. */
function nearly(fields: string): fc.Arbitrary<string> {
  const parts = fields.split(',');
  return fc.array(fc.tuple(fc.nat(parts.length - 1), oddText), { maxLength: 2 }).map((changes) => {
    const drawn = [...parts];
    for (const [position, value] of changes) {
      const [name = ''] = (drawn[position] as string).split(':');
      drawn.push(`${name}:${value}`);
    }
    return `{${drawn.join(',')}}`;
  });
}

const body = fc.oneof(
  fc
    .tuple(nearly(ROUTE), nearly(SERVICE), fc.constantFrom('1', '2', '"3"', '1e3'))
    .map(
      ([route, service, version]) =>
        `{"version":${version},"set":{"routes":[${route}],"services":[${service}]},"routes":[${route}],"services":[${service}]}`,
    ),
  nearly(HEARTBEAT),
  oddText,
  fc.string({ maxLength: 200 }),
);

/** Requests whose method, path and headers are right. */
const wellAddressed = fc
  .record({
    target: fc.constantFrom(
      'PUT /v1/declaration',
      'PATCH /v1/declaration',
      'POST /v1/upstreams/u1/heartbeat',
      'PUT /v1/services/other',
      'PUT /v1/upstreams/u2',
    ),
    text: body,
  })
  .map(({ target, text }) => {
    const length = Buffer.byteLength(text);
    const head = [`${target} HTTP/1.1`, 'host: h', 'content-type: application/json', 'if-match: 0'];
    return Buffer.from(
      `${[...head, `content-length: ${length}`, 'connection: close'].join('\r\n')}\r\n\r\n${text}`,
    );
  });

const wholeRequest = fc
  .record({
    method: fc.constantFrom(...METHODS),
    path: fc.constantFrom(...PATHS),
    headers: fc.array(fc.constantFrom(...HEADERS), { maxLength: 3 }),
    text: body,
    hasLength: fc.boolean(),
  })
  .map(({ method, path, headers, text, hasLength }) => {
    const length = hasLength
      ? [`content-length: ${Buffer.byteLength(text)}`, 'content-type: application/json']
      : [];
    const head = [`${method} ${path} HTTP/1.1`, 'host: h', ...headers, ...length, 'connection: close'];
    return Buffer.from(`${head.join('\r\n')}\r\n\r\n${text}`, 'latin1');
  });

/** A frame as peers send them: length, version, kind, correlation and payload, with any of them wrong. */
const frame = fc
  .record({
    length: fc.oneof(fc.nat(64), fc.constantFrom(0, 1, 0x7fffffff, 0xffffffff)),
    rest: fc.uint8Array({ maxLength: 64 }),
  })
  .map(({ length, rest }) => {
    const head = Buffer.alloc(4);
    head.writeUInt32BE(length);
    return Buffer.concat([head, rest]);
  });

const hostile = fc.oneof(
  { weight: 4, arbitrary: wellAddressed },
  { weight: 4, arbitrary: wholeRequest },
  { weight: 2, arbitrary: fc.tuple(wholeRequest, fc.double({ min: 0, max: 1, noNaN: true })).map(cutShort) },
  { weight: 2, arbitrary: frame },
  { weight: 1, arbitrary: fc.uint8Array({ maxLength: 300 }).map((bytes) => Buffer.from(bytes)) },
);

function cutShort([bytes, share]: [Buffer, number]): Buffer {
  return bytes.subarray(0, Math.floor(bytes.length * share));
}

/** Returns what to write to one connection each. */
export function drawHostileInput(count: number, seed: number): Buffer[] {
  return fc.sample(hostile, { numRuns: count, seed });
}
