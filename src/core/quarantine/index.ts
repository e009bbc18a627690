export * from "./crash_record.ts";
export * from "./crash_detector.ts";
export * from "./fingerprint.ts";
export * from "./permit_issuer.ts";
export * from "./quarantine.ts";
export * from "./run_permits.ts";
