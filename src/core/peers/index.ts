export * from "./follower_link.ts";
export * from "./holder_link.ts";
export * from "./message_pacing.ts";
export * from "./peer_message.ts";
export * from "./compact_assignment.ts";
export * from "./state_requester.ts";
export * from "./vm_count.ts";
