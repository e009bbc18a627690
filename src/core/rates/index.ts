export * from "./rate_share.ts";
export * from "./rate_tokens.ts";
export * from "./token_bucket.ts";
