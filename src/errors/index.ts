export * from "./step_error.ts";
