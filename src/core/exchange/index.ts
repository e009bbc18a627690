export * from "./peer_exchange.ts";
export * from "./quarantine_storage.ts";
