export * from "./backend_server.ts";
export * from "./evacuations.ts";
export * from "./fleet.ts";
export * from "./stated_rate.ts";
export * from "./tracked_server.ts";
