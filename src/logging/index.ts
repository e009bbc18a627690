export * from "./batched_transport.ts";
export * from "./journal.ts";
export * from "./story.ts";
