/** Adds up what this router sees of upstreams without keys and of the demand for them, for its load reports. */
import type { DemandSample, UpstreamSample } from '../../model/fleet-view.js';
import type { ServiceName, UpstreamId } from '../../model/identifiers.js';

/** Rows of one report at most, so that many routers cost the leader a bounded number; those of the most requests are kept. */
const REPORTED_UPSTREAMS = 24;
const REPORTED_DEMANDS = 24;
/** Names have no such character. */
const SEPARATOR = ' ';

interface Sum {
  requests: number;
  workMillis: number;
}

export class FleetSums {
  #upstreams = new Map<string, Sum>();
  #demand = new Map<string, Sum>();

  /** A request was worked on for so long, as far as that is known. */
  worked(upstream: UpstreamId, kind: string, workMillis: number): void {
    addTo(this.#upstreams, `${upstream}${SEPARATOR}${kind}`, workMillis);
  }

  /** A request came for a service. */
  asked(service: ServiceName, kind: string): void {
    addTo(this.#demand, `${service}${SEPARATOR}${kind}`, 0);
  }

  /** What came together since the last time. `out`: upstreams that are out of order here. */
  take(out: readonly UpstreamId[]): { upstreams: UpstreamSample[]; demand: DemandSample[] } {
    const outs = out.map((upstream) => ({ upstream, kind: '', requests: 0, workMillis: 0, isOut: true }));
    const samples = heaviest(this.#upstreams, REPORTED_UPSTREAMS).map(([[upstream, kind], sum]) => ({
      upstream,
      kind,
      ...sum,
      isOut: false,
    }));
    const demand = heaviest(this.#demand, REPORTED_DEMANDS).map(([[service, kind], { requests }]) => ({
      service,
      kind,
      requests,
    }));
    this.#upstreams = new Map();
    this.#demand = new Map();
    return { upstreams: [...outs, ...samples].slice(0, REPORTED_UPSTREAMS), demand };
  }
}

function heaviest(sums: ReadonlyMap<string, Sum>, most: number): [[string, string], Sum][] {
  const sorted = [...sums].sort((one, other) => other[1].requests - one[1].requests);
  return sorted.slice(0, most).map(([name, sum]) => {
    const [first = '', second = ''] = name.split(SEPARATOR);
    return [[first, second], sum];
  });
}

function addTo(sums: Map<string, Sum>, name: string, workMillis: number): void {
  const sum = sums.get(name) ?? { requests: 0, workMillis: 0 };
  sums.set(name, sum);
  sum.requests += 1;
  sum.workMillis += workMillis;
}
