export * from "./claim_registry.ts";
export * from "./dispatch_context.ts";
export * from "./dispatcher.ts";
export * from "./drain_tracker.ts";
export * from "./exchange.ts";
