export * from "./balancer.ts";
export * from "./concurrency_limit.ts";
export * from "./prober.ts";
export * from "./retry_budget.ts";
export * from "./server_watch.ts";
