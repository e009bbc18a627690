export * from "./address.ts";
export * from "./declaration_files.ts";
export * from "./entry_settings.ts";
export * from "./invalid_input.ts";
export * from "./yaml_file.ts";
