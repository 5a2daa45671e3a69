/**
 * A client that sends several safe requests on one connection before the first has its answer, and reads the answers slowly. It judges
 * what it got by the framing alone, as any HTTP/1.1 client has to. Whether a connection ended with a FIN is asked of the system, since Node may
 * report a reset as an ordinary end.
 */
import { readFileSync } from 'node:fs';
import net from 'node:net';

const TICK_MILLIS = 10;

/** Reads nothing for `readFromMillis`. Resolves with the answers in order, and how the connection ended: `fin`, an error code, or `client` once all was read. */
export function pipelinedRequests({ host, port, requests, bytesPerSecond, limitMillis, readFromMillis = 0, deadlineMillis = 8741 }) {
  return new Promise((done) => {
    const socket = net.connect({ host, port, noDelay: true, allowHalfOpen: true });
    let ports = null;
    socket.on('connect', () => {
      ports = [socket.localPort, port];
    });
    const text = requests.map(
      ({ path, id }) =>
        `GET ${path} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: ${id}\r\nRequest-Deadline-Ms: ${deadlineMillis}\r\n\r\n`,
    );
    socket.write(text.join(''));
    const reader = new AnswerReader();
    const startedAt = performance.now();
    let taken = 0;
    let end = null;
    let isOver = false;
    const finish = (how) => {
      if (!isOver) {
        isOver = true;
        clearInterval(timer);
        clearTimeout(limit);
        socket.destroy();
        reader.end(how);
        done({ answers: reader.answers, end: how, millis: Math.round(performance.now() - startedAt) });
      }
    };
    // In paused mode, bytes that aren't taken stay with the system, which then holds the sender up.
    socket.on('readable', () => {});
    socket.on('end', () => {
      end ??= hasReceivedFin(ports) ? 'fin' : 'reset';
      take(Number.POSITIVE_INFINITY);
      finish(end);
    });
    socket.on('error', ({ code }) => {
      end = code;
    });
    socket.on('close', () => {
      take(Number.POSITIVE_INFINITY);
      finish(end ?? 'closed');
    });
    const take = (allowed) => {
      let left = allowed;
      while (left > 0 && socket.readableLength > 0) {
        const chunk = socket.read(Math.min(left, socket.readableLength));
        if (chunk === null) {
          break;
        }
        left -= chunk.length;
        taken += chunk.length;
        reader.add(chunk);
      }
      if (socket.readableLength === 0) {
        socket.read(0);
      }
    };
    const timer = setInterval(() => {
      const allowed = Math.floor(((performance.now() - startedAt - readFromMillis) / 1000) * bytesPerSecond - taken);
      take(allowed);
      if (reader.complete >= requests.length) {
        finish('client');
      }
    }, TICK_MILLIS);
    const limit = setTimeout(() => finish('limit'), limitMillis);
  });
}

/** `CLOSE_WAIT` in /proc/net/tcp: the other end has sent a FIN. After a reset the connection isn't listed any more. */
const CLOSE_WAIT = '08';

function hasReceivedFin([localPort, remotePort]) {
  const hex = (number) => number.toString(16).toUpperCase().padStart(4, '0');
  const lines = readFileSync('/proc/net/tcp', 'utf8').split('\n').map((line) => line.trim().split(/\s+/));
  const found = lines.find(([, local, remote]) => local?.endsWith(`:${hex(localPort)}`) && remote?.endsWith(`:${hex(remotePort)}`));
  return found?.[3] === CLOSE_WAIT;
}

/** Splits a stream into answers. Bodies are counted, not kept. */
class AnswerReader {
  answers = [];
  complete = 0;
  #pending = Buffer.alloc(0);
  #current = null;

  add(chunk) {
    let rest = chunk;
    while (rest.length > 0) {
      rest = this.#current === null ? this.#readHead(rest) : this.#readBody(rest);
    }
  }

  /** The connection ended: an answer without a length is whole if it ended with a FIN. */
  end(how) {
    const current = this.#current;
    if (current === null) {
      return;
    }
    if (current.framing === 'connection' && how === 'fin') {
      this.#finish('whole');
    } else {
      this.#finish('cut');
    }
  }

  #readHead(chunk) {
    const joined = Buffer.concat([this.#pending, chunk]);
    const length = joined.indexOf('\r\n\r\n');
    if (length === -1) {
      this.#pending = joined;
      return Buffer.alloc(0);
    }
    this.#pending = Buffer.alloc(0);
    const lines = joined.subarray(0, length).toString('latin1').split('\r\n');
    const headers = Object.fromEntries(lines.slice(1).map((line) => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]));
    const expected = headers['content-length'] === undefined ? null : Number(headers['content-length']);
    const framing = expected !== null ? 'length' : headers['transfer-encoding'] === 'chunked' ? 'chunked' : 'connection';
    this.#current = { status: Number(lines[0].split(' ')[1]), id: headers['request-id'] ?? null, seal: headers['response-seal'] ?? null, framing, expected, bytes: 0, chunkLeft: null, tail: '' };
    if (expected === 0) {
      this.#finish('whole');
    }
    return joined.subarray(length + 4);
  }

  #readBody(chunk) {
    const current = this.#current;
    if (current.framing === 'chunked') {
      return this.#readChunked(chunk);
    }
    const wanted = current.framing === 'length' ? current.expected - current.bytes : chunk.length;
    const used = Math.min(wanted, chunk.length);
    current.bytes += used;
    if (current.bytes === current.expected) {
      this.#finish('whole');
    }
    return chunk.subarray(used);
  }

  #readChunked(chunk) {
    const current = this.#current;
    if (current.chunkLeft !== null && current.chunkLeft > 0) {
      const used = Math.min(current.chunkLeft, chunk.length);
      current.chunkLeft -= used;
      current.bytes += used;
      return chunk.subarray(used);
    }
    const joined = Buffer.concat([this.#pending, chunk]);
    const start = joined.subarray(0, 2).equals(Buffer.from('\r\n')) ? 2 : 0;
    const end = joined.indexOf('\r\n', start);
    if (end === -1) {
      this.#pending = joined;
      return Buffer.alloc(0);
    }
    this.#pending = Buffer.alloc(0);
    current.chunkLeft = Number.parseInt(joined.subarray(start, end).toString(), 16);
    if (current.chunkLeft === 0) {
      this.#finish('whole');
      return joined.subarray(end + 4);
    }
    return joined.subarray(end + 2);
  }

  #finish(state) {
    const { status, id, seal, framing, expected, bytes } = this.#current;
    this.answers.push({ status, id, seal, framing, expected, bytes, state });
    this.complete += state === 'whole' ? 1 : 0;
    this.#current = null;
  }
}
