/**
 * The version of this build.
 *
 * @module
 */

/** Version of the product, as in package.json. */
export const VERSION = "0.10.0";
