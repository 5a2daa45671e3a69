/** Sums of this router's samples of upstreams without keys and of the demand for them, for its load reports. */
import type { DemandSample, UpstreamSample } from '../../model/fleet-view.js';
import type { ServiceName, UpstreamId } from '../../model/identifiers.js';

/** Maximum rows in one report, which bounds the leader's work for many routers. Rows with the most requests are kept. */
const MAX_REPORTED_UPSTREAMS = 24;
const MAX_REPORTED_DEMANDS = 24;
/** A character that can't occur in names. */
const SEPARATOR = ' ';

interface Sum {
  requests: number;
  workMillis: number;
}

export class FleetSums {
  #upstreams = new Map<string, Sum>();
  #demand = new Map<string, Sum>();

  /** Records how long an upstream worked on a request, as far as known. */
  recordWork(upstream: UpstreamId, kind: string, workMillis: number): void {
    addSample(this.#upstreams, `${upstream}${SEPARATOR}${kind}`, workMillis);
  }

  /** Records a request for a service. */
  recordDemand(service: ServiceName, kind: string): void {
    addSample(this.#demand, `${service}${SEPARATOR}${kind}`, 0);
  }

  /** Returns the samples since the last call and resets them. `outOfService`: upstreams that this router avoids. */
  takeSamples(outOfService: readonly UpstreamId[]): { upstreams: UpstreamSample[]; demand: DemandSample[] } {
    const outSamples = outOfService.map((upstream) => ({
      upstream,
      kind: '',
      requests: 0,
      workMillis: 0,
      isOut: true,
    }));
    const samples = heaviest(this.#upstreams, MAX_REPORTED_UPSTREAMS).map(([[upstream, kind], sum]) => ({
      upstream,
      kind,
      ...sum,
      isOut: false,
    }));
    const demand = heaviest(this.#demand, MAX_REPORTED_DEMANDS).map(([[service, kind], { requests }]) => ({
      service,
      kind,
      requests,
    }));
    this.#upstreams = new Map();
    this.#demand = new Map();
    return { upstreams: [...outSamples, ...samples].slice(0, MAX_REPORTED_UPSTREAMS), demand };
  }
}

function heaviest(sums: ReadonlyMap<string, Sum>, count: number): [[string, string], Sum][] {
  const sorted = [...sums].sort((one, other) => other[1].requests - one[1].requests);
  return sorted.slice(0, count).map(([name, sum]) => {
    const [first = '', second = ''] = name.split(SEPARATOR);
    return [[first, second], sum];
  });
}

function addSample(sums: Map<string, Sum>, name: string, workMillis: number): void {
  const sum = sums.get(name) ?? { requests: 0, workMillis: 0 };
  sums.set(name, sum);
  sum.requests += 1;
  sum.workMillis += workMillis;
}
