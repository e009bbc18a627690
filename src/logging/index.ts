export * from "./batched_transport.ts";
export * from "./logger.ts";
export * from "./request_trace.ts";
