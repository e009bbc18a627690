export * from "./entry_process.ts";
export * from "./headers.ts";
export * from "./log_client.ts";
export * from "./step_error.ts";
