export * from "./command_line.ts";
