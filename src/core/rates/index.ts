export * from "./rate_share.ts";
export * from "./rate_tokens.ts";
export * from "./server_limits.ts";
export * from "./share_ledger.ts";
export * from "./token_bucket.ts";
