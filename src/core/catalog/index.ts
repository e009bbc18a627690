export * from "./catalog.ts";
export * from "./configuration.ts";
export * from "./route_table.ts";
export * from "./weighted_rotation.ts";
