/** Finds routes by host and path. Prefixes end with a slash, so a lookup tries one prefix per slash of the path. */
import type { RouteDefinition } from '../model/declaration.js';

const PORT_PATTERN = /:\d*$/;

export class RouteTable {
  readonly #byName = new Map<string, RouteDefinition>();
  readonly #hosts = new Map<string, Map<string, RouteDefinition>>();

  /** Adds a route, replaces the route of this name, or removes it (`null`). */
  put(name: string, route: RouteDefinition | null): void {
    const previous = this.#byName.get(name);
    if (previous !== undefined) {
      this.#remove(previous);
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

  /** Returns the route with the longest prefix of `path`. `path` has no query; `host` may include a port. */
  find(host: string, path: string): RouteDefinition | undefined {
    const prefixes = this.#hosts.get(host.replace(PORT_PATTERN, '').toLowerCase());
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

  /** Removes a route, but keeps another one that has replaced it at the same host and prefix. */
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
    const existing = this.#hosts.get(host);
    if (existing !== undefined) {
      return existing;
    }
    const created = new Map<string, RouteDefinition>();
    this.#hosts.set(host, created);
    return created;
  }
}
