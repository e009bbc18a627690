export * from "./liveness.ts";
export * from "./member.ts";
export * from "./quorum.ts";
