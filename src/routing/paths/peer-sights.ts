/**
 * What is known of other routers' own paths: each of them may have lost those to one upstream, to some that are alike, or to all. The most particular
 * news about an upstream counts.
 */
import type { MonotonicMillis, RouterId, ServiceName, UpstreamId, Zone } from '../../model/identifiers.js';

/** An upstream as the choice of a relay sees it. */
export interface RelayedUpstream {
  readonly id: UpstreamId;
  readonly service: ServiceName;
  readonly zone: Zone;
}

export const SIGHTS = {
  /** It reached this upstream, or one like it. */
  sighted: 'sighted',
  /** It reached some upstream. */
  sightedElsewhere: 'sighted-elsewhere',
  unknown: 'unknown',
  /** It has lost its path to some upstream. */
  blindElsewhere: 'blind-elsewhere',
  /** It has lost its path to this upstream, or to one like it. */
  blind: 'blind',
} as const;
export type Sight = (typeof SIGHTS)[keyof typeof SIGHTS];

/** How long news of a peer's path counts. */
const LIFETIME_MILLIS = 5000;
/** Beyond this many news of one peer, those that are over are dropped. */
const MAX_NEWS = 256;
const ANY = 'any';

interface News {
  readonly isSighted: boolean;
  readonly at: MonotonicMillis;
}

export class PeerSights {
  /** By peer, and by what the news is about. */
  readonly #news = new Map<RouterId, Map<string, News>>();

  /** Records that a peer reached an upstream, or that it has no path to it. */
  record(router: RouterId, upstream: RelayedUpstream, isSighted: boolean, now: MonotonicMillis): void {
    const news = this.#news.get(router) ?? new Map<string, News>();
    this.#news.set(router, news);
    for (const subject of [...likenessesOf(upstream), ANY]) {
      news.set(subject, { isSighted, at: now });
    }
    if (news.size > MAX_NEWS) {
      dropOld(news, now);
    }
  }

  sightOf(router: RouterId, upstream: RelayedUpstream, now: MonotonicMillis): Sight {
    const news = this.#news.get(router);
    const like = likenessesOf(upstream)
      .map((subject) => freshNews(news?.get(subject), now))
      .find((found) => found !== undefined);
    if (like !== undefined) {
      return like.isSighted ? SIGHTS.sighted : SIGHTS.blind;
    }
    const any = freshNews(news?.get(ANY), now);
    if (any === undefined) {
      return SIGHTS.unknown;
    }
    return any.isSighted ? SIGHTS.sightedElsewhere : SIGHTS.blindElsewhere;
  }

  /** Forgets all peers but some. */
  keepOnly(routers: ReadonlySet<RouterId>): void {
    for (const router of this.#news.keys()) {
      if (!routers.has(router)) {
        this.#news.delete(router);
      }
    }
  }
}

/** What an upstream shares with others, the most particular first: upstreams are often cut off together by service and zone. */
function likenessesOf({ id, service, zone }: RelayedUpstream): readonly string[] {
  return [`upstream ${id}`, `service ${service} in ${zone}`, `service ${service}`];
}

function freshNews(news: News | undefined, now: MonotonicMillis): News | undefined {
  return news !== undefined && now - news.at <= LIFETIME_MILLIS ? news : undefined;
}

function dropOld(news: Map<string, News>, now: MonotonicMillis): void {
  for (const [subject, { at }] of news) {
    if (now - at > LIFETIME_MILLIS) {
      news.delete(subject);
    }
  }
}
