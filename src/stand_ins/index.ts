export * from "./backend_service.ts";
export * from "./log_service.ts";
export * from "./vm_list_service.ts";
