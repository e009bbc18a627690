export * from "./check.ts";
export * from "./document.ts";
export * from "./site.ts";
