export * from "./body_room.ts";
export * from "./dispatch_context.ts";
export * from "./dispatch_effect.ts";
export * from "./dispatcher.ts";
export * from "./memory_pressure.ts";
export * from "./request.ts";
export * from "./retry_budget.ts";
export * from "./server_choice.ts";
