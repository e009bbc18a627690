export * from "./entry_process.ts";
export * from "./headers.ts";
export * from "./log_client.ts";
export * from "../errors/index.ts";
