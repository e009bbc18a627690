/**
 * Rules of a declaration that span several of its parts and that a schema of
 * one part cannot express.
 *
 * @module
 */
import type { Declaration, DeclaredRoute } from "./document.ts";

/** One fault of a declaration: which document, where in it, and what. */
export interface Fault {
  /** `base` or the name of an overlay's site. */
  document: string;
  /** Path of the faulty value within the document. */
  path: (string | number)[];
  /** What was expected and what was found. */
  message: string;
}

/** All faults that span documents; empty when the declaration is sound. */
export function checkDeclaration({ base, overlays }: Declaration): Fault[] {
  const services = Object.keys(base.services);
  const faults: Fault[] = [];
  for (const [name, route] of Object.entries(base.routes)) {
    faults.push(...checkTarget("base", name, route.to, services));
  }
  const sites = new Set<string>();
  for (const overlay of overlays) {
    const { site } = overlay;
    if (sites.has(site)) {
      const message = `expected one overlay per site, found a second '${site}'`;
      faults.push({ document: site, path: ["site"], message });
    }
    sites.add(site);
    faults.push(
      ...checkNames(site, "services", overlay.services, services),
      ...checkNames(site, "routes", overlay.routes, Object.keys(base.routes)),
    );
    for (const [name, { to }] of Object.entries(overlay.routes)) {
      if (to !== undefined) {
        faults.push(...checkTarget(site, name, to, services));
      }
    }
  }
  return faults;
}

function checkNames(
  document: string,
  part: string,
  overlaid: Record<string, unknown>,
  known: readonly string[],
): Fault[] {
  return Object.keys(overlaid)
    .filter((name) => !known.includes(name))
    .map((name) => ({
      document,
      path: [part, name],
      message: `expected one of the base file's ${part} (${
        known.join(", ")
      }), found '${name}'`,
    }));
}

function checkTarget(
  document: string,
  route: string,
  to: DeclaredRoute["to"],
  services: readonly string[],
): Fault[] {
  const targets = typeof to === "string" ? [to] : Object.keys(to);
  return targets
    .filter((target) => !services.includes(target))
    .map((target) => ({
      document,
      path: ["routes", route, "to"],
      message: `expected a service of the base file (${
        services.join(", ")
      }), found '${target}'`,
    }));
}
