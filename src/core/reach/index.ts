export * from "./order_paths.ts";
export * from "./relay_choice.ts";
export * from "./relay_gate.ts";
export * from "./relay_roster.ts";
export * from "./server_paths.ts";
export * from "./server_reach.ts";
