/** Routes by host and path. Prefixes end with a slash, so only as many are looked up as the path has slashes. */
import type { RouteDefinition } from '../model/declaration.js';

const DEFAULT_PORT_PATTERN = /:\d*$/;

export class RouteTable {
  readonly #byName = new Map<string, RouteDefinition>();
  readonly #hosts = new Map<string, Map<string, RouteDefinition>>();

  /** Adds a route, puts it in the place of the one with its name, or takes that one out (`null`). */
  put(name: string, route: RouteDefinition | null): void {
    const before = this.#byName.get(name);
    if (before !== undefined) {
      this.#remove(before);
    }
    if (route !== null) {
      this.#byName.set(name, route);
      this.#prefixesOf(route.host).set(route.prefix, route);
    }
  }

  names(): string[] {
    return [...this.#byName.keys()];
  }

  get(name: string): RouteDefinition | undefined {
    return this.#byName.get(name);
  }

  /** The route with the longest prefix that begins `path`, which has no query; `host` may have a port. */
  find(host: string, path: string): RouteDefinition | undefined {
    const prefixes = this.#hosts.get(host.replace(DEFAULT_PORT_PATTERN, '').toLowerCase());
    if (prefixes === undefined) {
      return undefined;
    }
    for (let end = path.lastIndexOf('/'); end >= 0; end = end === 0 ? -1 : path.lastIndexOf('/', end - 1)) {
      const route = prefixes.get(path.slice(0, end + 1));
      if (route !== undefined) {
        return route;
      }
    }
    return undefined;
  }

  /** Another route may have taken the same place before this one went. */
  #remove(route: RouteDefinition): void {
    const prefixes = this.#hosts.get(route.host);
    this.#byName.delete(route.name);
    if (prefixes?.get(route.prefix) === route) {
      prefixes.delete(route.prefix);
    }
    if (prefixes?.size === 0) {
      this.#hosts.delete(route.host);
    }
  }

  #prefixesOf(host: string): Map<string, RouteDefinition> {
    const known = this.#hosts.get(host);
    if (known !== undefined) {
      return known;
    }
    const made = new Map<string, RouteDefinition>();
    this.#hosts.set(host, made);
    return made;
  }
}
