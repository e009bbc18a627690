export * from "./backend_service.ts";
export * from "./stand_in.ts";
export * from "./store_service.ts";
