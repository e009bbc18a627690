export * from "./catalog.ts";
export * from "./configuration.ts";
export * from "./named_versions.ts";
export * from "./route_table.ts";
export * from "./weighted_rotation.ts";
