export * from "./return_planner.ts";
export * from "./return_policy.ts";
