/**
 * Optional behaviour of the core, which the settings switch on.
 *
 * @module
 */

/** See the module's comment. Without a feature, this VM acts as without it. */
export interface Features {
  /** Admits the most urgent requests if a service cannot run all. */
  admitsByPriority: boolean;
  /** Plans when refused callers return; needs `admitsByPriority`. */
  schedulesReturns: boolean;
  /**
   * Admission by priority, and planned returns, apply to routes whose callers
   * wait at least this many times the route's timeout; 0 for all routes.
   */
  minimumTimeRatio: number;
  /** Limits the requests to servers that have just started or recovered. */
  pacesStarts: boolean;
}

/** No optional behaviour. */
export const NO_FEATURES: Features = {
  admitsByPriority: false,
  schedulesReturns: false,
  minimumTimeRatio: 0,
  pacesStarts: false,
};
