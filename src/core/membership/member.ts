/**
 * Members are the entry processes that the log names. A process that restarts
 * is another member: its incarnation is the log offset of its start record.
 *
 * @module
 */
import { z } from "zod";

/** Schema of {@linkcode Member}. */
export const memberSchema = z.object({
  vm: z.string().min(1).max(63),
  /** Log offset of the record that announced this start of the process. */
  incarnation: z.number().int().nonnegative(),
  availabilityZone: z.string(),
  /** Address at which the process accepts its peers, as `host:port`. */
  peerAddress: z.string(),
  /** When the process started, in milliseconds since the epoch. */
  startedAt: z.number().default(0),
});

/** One run of one entry process. */
export type Member = z.infer<typeof memberSchema>;

/** Schema of {@linkcode Membership}. */
export const membershipSchema = z.object({
  /** Log offset of the record; 0 before the first. */
  offset: z.number().int().nonnegative(),
  /** The processes that may route to keyed services. */
  members: z.array(memberSchema),
  /** The members whose confirmations make view leases. */
  witnesses: z.array(memberSchema),
});

/** Who takes part at a site, as one record of the log says. */
export type Membership = z.infer<typeof membershipSchema>;

/** The membership before the first record. */
export const EMPTY_MEMBERSHIP: Membership = {
  offset: 0,
  members: [],
  witnesses: [],
};

/** Whether both are the same run of the same process. */
export function sameMember(a: Member, b: Member): boolean {
  return a.vm === b.vm && a.incarnation === b.incarnation;
}

/** The runs in each list of members, built when first asked for. */
const indices = new WeakMap<readonly Member[], Map<string, number>>();

/** Incarnations by VM; lists of members are never changed in place. */
function indexOf(members: readonly Member[]): Map<string, number> {
  const known = indices.get(members);
  if (known !== undefined) return known;
  const index = new Map(members.map((each) => [each.vm, each.incarnation]));
  indices.set(members, index);
  return index;
}

/**
 * Whether `members` holds this run of the process. The list holds one run of
 * each VM and must not be changed in place: it is indexed once.
 */
export function includesMember(
  members: readonly Member[],
  vm: string,
  incarnation: number,
): boolean {
  return indexOf(members).get(vm) === incarnation;
}

/** The incarnation in which `members` holds a VM, if it does. */
export function incarnationOf(
  members: readonly Member[],
  vm: string,
): number | undefined {
  return indexOf(members).get(vm);
}
