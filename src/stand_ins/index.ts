export * from "./backend_service.ts";
export * from "./log_service.ts";
export { StandIn } from "./stand_in.ts";
export * from "./vm_list_service.ts";
