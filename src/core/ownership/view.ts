/**
 * A view says which backend server holds which slot of each keyed service, and
 * which processes take part. The term holder issues views; the others adopt
 * them in order.
 *
 * @module
 */
import { z } from "zod";
import { membershipSchema } from "../membership/index.ts";
import { comparePositions, positionSchema } from "../position.ts";

/** Schema of {@linkcode Slot}. */
export const slotSchema = z.object({
  /** Id of the owning backend server, or null while nobody owns the slot. */
  server: z.string().nullable(),
  /** Fencing token of the grant; of the last grant while vacant. */
  token: z.number().int().nonnegative(),
});

/** One hash range of a service's keys and its owner. */
export type Slot = z.infer<typeof slotSchema>;

/** Schema of {@linkcode View}. */
export const viewSchema = z.object({
  position: positionSchema,
  membership: membershipSchema,
  /** Slots of each keyed service, by service name. */
  services: z.record(z.string(), z.array(slotSchema)),
});

/** Ownership at one position. */
export type View = z.infer<typeof viewSchema>;

/** Schema of {@linkcode SlotChange}. */
export const slotChangeSchema = z.object({
  service: z.string(),
  slot: z.number().int().nonnegative(),
  server: z.string().nullable(),
  token: z.number().int().nonnegative(),
});

/** A new owner, or none, of one slot. */
export type SlotChange = z.infer<typeof slotChangeSchema>;

/** Schema of {@linkcode ViewChange}. */
export const viewChangeSchema = z.object({
  from: positionSchema,
  to: positionSchema,
  /** Present when the membership changes too. */
  membership: membershipSchema.optional(),
  changes: z.array(slotChangeSchema),
});

/** What leads from one view to the next. */
export type ViewChange = z.infer<typeof viewChangeSchema>;

/**
 * The view that a change leads to, or null when the change does not start at
 * `view`.
 */
export function applyChange(view: View, change: ViewChange): View | null {
  if (comparePositions(view.position, change.from) !== 0) return null;
  const services = { ...view.services };
  const copied = new Set<string>();
  for (const { service, slot, server, token } of change.changes) {
    if (!copied.has(service)) {
      services[service] = [...(services[service] ?? [])];
      copied.add(service);
    }
    services[service][slot] = { server, token };
  }
  return {
    position: change.to,
    membership: change.membership ?? view.membership,
    services,
  };
}

/** Whether `server` holds a slot of `service` in the view. */
export function holdsSlot(
  view: View,
  service: string,
  server: string,
): boolean {
  return (view.services[service] ?? []).some((slot) => slot.server === server);
}
