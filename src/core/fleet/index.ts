export * from "./backend_server.ts";
export * from "./fleet.ts";
export * from "./tracked_server.ts";
