/**
 * Differences between two configurations, value by value.
 *
 * @module
 */
import type { Configuration } from "../core/index.ts";

/** One value that differs. */
export interface Difference {
  path: string;
  before: string | null;
  after: string | null;
}

/** All values that differ between two configurations. */
export function findDifferences(
  before: Configuration | null,
  after: Configuration,
): Difference[] {
  const old = flatten(before === null ? {} : byName(before));
  const young = flatten(byName(after));
  const paths = [...new Set([...old.keys(), ...young.keys()])].sort();
  return paths
    .map((path) => ({
      path,
      before: old.get(path) ?? null,
      after: young.get(path) ?? null,
    }))
    .filter((each) => each.before !== each.after);
}

/** A difference as a line of text. */
export function formatDifference({ path, before, after }: Difference): string {
  if (before === null) return `+ ${path}: ${after}`;
  if (after === null) return `- ${path}: ${before}`;
  return `~ ${path}: ${before} -> ${after}`;
}

/** Lists as objects by name, so that a change of order is no difference. */
function byName({ base, overlays }: Configuration): unknown {
  const sites = overlays.map((overlay) => {
    const services = Object.entries(overlay.services).map(([name, service]) => {
      const servers = service.backendServers.map((each) => [each.id, each]);
      return [name, {
        ...service,
        backendServers: Object.fromEntries(servers),
      }];
    });
    return [overlay.site, {
      ...overlay,
      services: Object.fromEntries(services),
    }];
  });
  return { base, sites: Object.fromEntries(sites) };
}

function flatten(
  value: unknown,
  path = "",
  into: Map<string, string> = new Map(),
): Map<string, string> {
  if (typeof value !== "object" || value === null || Array.isArray(value)) {
    into.set(path, JSON.stringify(value));
    return into;
  }
  for (const [name, each] of Object.entries(value)) {
    if (each === undefined) continue;
    flatten(each, path === "" ? name : `${path}.${name}`, into);
  }
  return into;
}
