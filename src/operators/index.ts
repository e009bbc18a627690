export * from "./differences.ts";
export * from "./publisher.ts";
