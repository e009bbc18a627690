/**
 * Rules of a configuration that span several of its parts and that a schema of
 * one part cannot express.
 *
 * @module
 */
import type { Configuration, Overlay } from "./document.ts";

/** One fault of a configuration: which document, where in it, and what. */
export interface Fault {
  /** `base` or the name of an overlay's site. */
  document: string;
  /** Path of the faulty value within the document. */
  path: (string | number)[];
  /** What was expected and what was found. */
  message: string;
}

/** All faults that span documents; empty when the configuration is sound. */
export function checkConfiguration(configuration: Configuration): Fault[] {
  const faults: Fault[] = [];
  const sites = new Set<string>();
  for (const overlay of configuration.overlays) {
    if (sites.has(overlay.site)) {
      faults.push({
        document: overlay.site,
        path: ["site"],
        message:
          `expected one overlay per site, found a second '${overlay.site}'`,
      });
    }
    sites.add(overlay.site);
    faults.push(...checkOverlay(configuration, overlay));
  }
  return faults;
}

function checkOverlay(configuration: Configuration, overlay: Overlay): Fault[] {
  const faults: Fault[] = [];
  const ids = new Set<string>();
  const fault = (path: (string | number)[], message: string) =>
    faults.push({ document: overlay.site, path, message });
  for (const [name, service] of Object.entries(overlay.services)) {
    if (!Object.hasOwn(configuration.base.services, name)) {
      fault(
        ["services", name],
        `expected a service of the base file (${
          Object.keys(configuration.base.services).join(", ")
        }), found '${name}'`,
      );
    }
    for (const [index, server] of service.backendServers.entries()) {
      const path = ["services", name, "backendServers", index];
      if (ids.has(server.id)) {
        fault(
          [...path, "id"],
          `expected an id of its own for each backend server, found '${server.id}' twice`,
        );
      }
      ids.add(server.id);
      if (!overlay.availabilityZones.includes(server.availabilityZone)) {
        fault(
          [...path, "availabilityZone"],
          `expected one of ${
            overlay.availabilityZones.join(", ")
          }, found '${server.availabilityZone}'`,
        );
      }
    }
  }
  return faults;
}

/**
 * Faults of `next` as the successor of `current`. The number of key slots stays:
 * another number would give every key another slot, and so another owner.
 */
export function checkSuccession(
  current: Configuration | null,
  next: Configuration,
): Fault[] {
  const faults: Fault[] = [];
  for (const [name, service] of Object.entries(next.base.services)) {
    const before = current?.base.services[name]?.keySlots;
    if (before === undefined || before === service.keySlots) continue;
    faults.push({
      document: "base",
      path: ["services", name, "keySlots"],
      message:
        `expected ${before}, the number in force, found ${service.keySlots}: declare a new service instead`,
    });
  }
  return faults;
}
