export * from "./known_pace.ts";
export * from "./pace_control.ts";
export * from "./server_pace.ts";
