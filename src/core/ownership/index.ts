export * from "./lease.ts";
export * from "./placement.ts";
export * from "./replica.ts";
export * from "./term_claim.ts";
export * from "./term_holder.ts";
export * from "./timing.ts";
export * from "./vacancy.ts";
export * from "./view.ts";
