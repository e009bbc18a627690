export * from "./dispatcher.ts";
export * from "./drain_tracker.ts";
export * from "./exchange.ts";
export * from "./recent_ids.ts";
