export * from "./registry_news.ts";
export * from "./registry_read.ts";
export * from "./registry_replica.ts";
