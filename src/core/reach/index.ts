export * from "./server_reach.ts";
