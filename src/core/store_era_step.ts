/**
 * Largest difference between two successive eras of the store that a VM
 * accepts. Eras rise by one; a VM misses those of the time in which it is cut
 * off. A larger difference is an error, and if it were accepted, all later eras
 * would be lower.
 */
export const MAXIMUM_ERA_STEP = 1_000;
