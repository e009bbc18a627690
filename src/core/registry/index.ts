export * from "./registry_update.ts";
export * from "./registry_read.ts";
export * from "./registry_replica.ts";
