/**
 * What one site runs: the base file with the site's overlay laid over it.
 *
 * @module
 */
import type { BackendServer, Configuration, Service } from "./document.ts";

/** One service with the values and backend servers of one site. */
export interface SiteService extends Service {
  /** Name under which callers reach it. */
  name: string;
  /** The servers of this site. */
  backendServers: BackendServer[];
}

/** All services of one site, by name. */
export interface SiteConfiguration {
  /** Log offset of the accepted record; 0 before the first. */
  revision: number;
  services: Map<string, SiteService>;
  availabilityZones: string[];
}

/** The configuration of a site before anything was accepted. */
export const EMPTY_SITE: SiteConfiguration = {
  revision: 0,
  services: new Map(),
  availabilityZones: [],
};

/**
 * Lays the overlay of `site` over the base. A service that the overlay does not
 * name has no backend servers at that site.
 */
export function siteConfiguration(
  configuration: Configuration,
  site: string,
  revision: number,
): SiteConfiguration {
  const overlay = configuration.overlays.find((each) => each.site === site);
  const services = new Map<string, SiteService>();
  for (const [name, service] of Object.entries(configuration.base.services)) {
    const difference = overlay?.services[name];
    const defined = Object.fromEntries(
      Object.entries(difference ?? {}).filter(([, value]) =>
        value !== undefined
      ),
    );
    services.set(name, { backendServers: [], ...service, ...defined, name });
  }
  return {
    revision,
    services,
    availabilityZones: overlay?.availabilityZones ?? [],
  };
}
