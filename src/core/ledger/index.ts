export * from "./fold.ts";
export * from "./reader.ts";
export * from "./record.ts";
