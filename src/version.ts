/**
 * The version of this build.
 *
 * @module
 */

/** The same version as in package.json. */
export const VERSION = "0.10.0";
