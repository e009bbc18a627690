export * from "./backend_server.ts";
export * from "./evacuations.ts";
export * from "./fleet.ts";
export * from "./process_statements.ts";
export * from "./reported_rate_limit.ts";
export * from "./server_statement.ts";
export * from "./tracked_server.ts";
