/** A sound upstream without keys, as PROTOCOL.md describes it: heartbeats, slots, a queue, health and seals. */
import { createHash, randomBytes } from 'node:crypto';
import http from 'node:http';
import { call } from './deployment.mjs';

export function sealOf(id, body) {
  return `${id}.${createHash('sha256').update(body).digest('hex').slice(0, 16)}`;
}

export class Upstream {
  constructor({ deployment, service, zone, ip, slots = 3, queue = 12, workMillis = 90, record, answerBytes = 400, answer = null }) {
    Object.assign(this, { deployment, service, zone, ip, slots, queue, workMillis, record, answerBytes, answer });
    this.id = `i-${randomBytes(4).toString('hex')}`;
    this.running = 0;
    this.waiting = [];
    this.sequence = 0;
    this.ran = new Map();
    this.factor = 1;
    this.state = 'ready';
  }

  async start() {
    this.server = http.createServer((request, response) => this.#serve(request, response));
    this.server.keepAliveTimeout = 10000;
    await new Promise((done) => this.server.listen({ host: this.ip, port: 0 }, done));
    this.port = this.server.address().port;
    this.address = `${this.ip}:${this.port}`;
    await this.beat();
    this.timer = setInterval(() => void this.beat(), 1500);
  }

  async beat() {
    const { controls, ports } = this.deployment;
    this.sequence += 1;
    const body = {
      service: this.service, address: this.address, zone: this.zone, version: 'v1', slots: this.slots,
      state: this.state, warmupMillis: 0, sequence: this.sequence,
    };
    for (let tries = 0; tries < controls.length; tries += 1) {
      let target = { host: controls[(this.sequence + tries) % controls.length].ip, port: ports.controlPlane };
      for (let hops = 0; hops < 3; hops += 1) {
        const answer = await call({ ...target, method: 'POST', path: `/v1/upstreams/${this.id}/heartbeat`, body, timeoutMillis: 1000 });
        if (answer.status === 307) {
          const { hostname, port } = new URL(answer.headers.location);
          target = { host: hostname, port: Number(port) };
          continue;
        }
        if (answer.status === 200) {
          return true;
        }
        break;
      }
    }
    return false;
  }

  stop() {
    clearInterval(this.timer);
    this.server.closeAllConnections();
    this.server.close();
  }

  #serve(request, response) {
    if (request.url === '/health') {
      response.writeHead(200, { 'Instance-Id': this.id, 'Server-Load': this.#load(), 'content-length': 0 }).end();
      return;
    }
    const target = request.headers['target-instance'];
    if (target !== undefined && target !== this.id) {
      request.resume();
      response.writeHead(421, { 'Instance-Id': this.id, 'content-length': 0 }).end();
      return;
    }
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => this.#admit(request, response, Buffer.concat(chunks)));
  }

  #load() {
    return `${this.running},${this.waiting.length},${this.slots}`;
  }

  #admit(request, response, body) {
    const id = request.headers['request-id'];
    if (this.running < this.slots) {
      this.#run(request, response, body);
    } else if (this.waiting.length < this.queue) {
      const item = { request, response, body };
      this.waiting.push(item);
      response.once('close', () => {
        this.waiting = this.waiting.filter((other) => other !== item);
      });
    } else {
      response.writeHead(503, { 'Request-Id': id, 'Not-Executed': '1', 'Server-Load': this.#load(), 'content-length': 0 }).end();
    }
  }

  #run(request, response, body) {
    const id = request.headers['request-id'];
    this.running += 1;
    this.ran.set(id, (this.ran.get(id) ?? 0) + 1);
    this.record?.add('ran', { upstream: this.id, id, method: request.method, path: request.url, bytes: body.length, times: this.ran.get(id) });
    setTimeout(() => {
      this.running -= 1;
      const bytes = Buffer.alloc(this.answerBytes, `${id} `);
      const seal = sealOf(this.id, bytes);
      if (this.answer !== null) {
        this.answer({ upstream: this, request, response, bytes, seal, id });
      } else if (!response.destroyed) {
        response.writeHead(200, { 'Request-Id': id, 'Response-Seal': seal, 'Server-Load': this.#load(), 'content-length': bytes.length }).end(bytes);
      }
      const next = this.waiting.shift();
      if (next !== undefined) {
        this.#run(next.request, next.response, next.body);
      }
    }, this.workMillis * this.factor);
  }
}
