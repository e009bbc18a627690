export * from "./demand_meter.ts";
