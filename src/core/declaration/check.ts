/**
 * Checks a declaration, the configuration files that operators write, against
 * rules that span several of its parts and that the schema of one part
 * therefore cannot express.
 *
 * @module
 */
import type { Declaration, DeclaredRoute } from "./document.ts";

/** An error in a declaration. */
export interface Issue {
  /** `base`, or the site of an overlay. */
  document: string;
  /** Path of the invalid value within the document. */
  path: (string | number)[];
  /** What was expected and what was found. */
  message: string;
}

/**
 * Returns all errors of a declaration that matches its schema; none if it is
 * valid.
 */
export function checkDeclaration({ base, overlays }: Declaration): Issue[] {
  const services = Object.keys(base.services);
  const issues: Issue[] = [];
  for (const [name, route] of Object.entries(base.routes)) {
    issues.push(...checkTarget("base", name, route.to, services));
  }
  const sites = new Set<string>();
  for (const overlay of overlays) {
    const { site } = overlay;
    if (sites.has(site)) {
      const message = `expected one overlay per site, found a second '${site}'`;
      issues.push({ document: site, path: ["site"], message });
    }
    sites.add(site);
    issues.push(
      ...checkNames(site, "services", overlay.services, services),
      ...checkNames(site, "routes", overlay.routes, Object.keys(base.routes)),
    );
    for (const [name, { to }] of Object.entries(overlay.routes)) {
      if (to !== undefined) {
        issues.push(...checkTarget(site, name, to, services));
      }
    }
  }
  return issues;
}

/**
 * Checks that an overlay names only services or routes, depending on `part`,
 * that the base file has.
 */
function checkNames(
  document: string,
  part: string,
  overrides: Record<string, unknown>,
  known: readonly string[],
): Issue[] {
  return Object.keys(overrides)
    .filter((name) => !known.includes(name))
    .map((name) => ({
      document,
      path: [part, name],
      message: `expected one of the base file's ${part} (${
        known.join(", ")
      }), found '${name}'`,
    }));
}

/** Checks that a route sends requests only to services of the base file. */
function checkTarget(
  document: string,
  route: string,
  to: DeclaredRoute["to"],
  services: readonly string[],
): Issue[] {
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
