import test from "ava";
import { Fleet } from "../fleet/index.ts";
import { KeyLoads } from "./key_load.ts";
import { leaseTimingSchema } from "./lease_timing.ts";
import { TermCampaign } from "./term_campaign.ts";

function createCampaign(fitness: number) {
  const campaign = TermCampaign.create(
    leaseTimingSchema.parse({}),
    Fleet.create(),
    KeyLoads.create(),
    fitness,
  );
  /**
   * Returns the effects of a step at `now` as text, with the group of
   * membership calls.
   */
  const advance = (now: number) =>
    campaign.advance([], now, 0, false).map((each) =>
      "group" in each ? `${each.kind} ${each.group}` : each.kind
    );
  return { campaign, advance };
}

// Guards against VMs that join the electorate before they have read which VM
// was the last term holder. After 72 VMs were killed at once, small VMs did so
// during their slow restart, then observed a fitter VM and left again. Each
// join and leave can change which VM is elected: the group changed 99 times,
// and the first term holder lost its term 2.2 s after its claim.
test("campaign: a VM becomes a candidate only after it has read which VM was the last term holder", (t) => {
  const { campaign, advance } = createCampaign(0.5);
  t.deepEqual(advance(0), ["group.join observers"]);
  const membership = { generation: 1, isElected: false, sentAt: 0 };
  campaign.onJoined({ ...membership, group: "observers" }, 4);
  t.deepEqual(advance(400), []);
  campaign.observeFitness(4, 410);
  campaign.onHolderRead();
  t.deepEqual(advance(420), []);
  // A store that does not answer delays the candidacy only for a limited time.
  const unread = createCampaign(0.5);
  unread.advance(0);
  unread.campaign.onJoined({ ...membership, group: "observers" }, 4);
  t.deepEqual(unread.advance(999), []);
  t.deepEqual(unread.advance(1_000), ["group.join electorate"]);
});

test("campaign: a VM that observes a fitter one leaves the electorate with an explicit call", (t) => {
  const { campaign, advance } = createCampaign(0.5);
  const membership = { generation: 1, isElected: false, sentAt: 0 };
  t.deepEqual(advance(0), ["group.join observers"]);
  campaign.onJoined({ ...membership, group: "observers" }, 4);
  campaign.onHolderRead();
  t.deepEqual(advance(60), ["group.join electorate"]);
  campaign.onJoined({ ...membership, group: "electorate" }, 64);
  campaign.observeFitness(4, 100);
  t.deepEqual(advance(110), ["group.leave electorate", "group.join observers"]);
  // It becomes a candidate again after some time without a message about a
  // fitter VM.
  campaign.onJoined({ ...membership, group: "observers", sentAt: 110 }, 114);
  t.deepEqual(advance(3_000), ["group.join observers"]);
  campaign.onJoined(
    { ...membership, group: "observers", sentAt: 3_000 },
    3_004,
  );
  t.deepEqual(advance(3_200), ["group.join electorate"]);
});

test("campaign: membership calls are frequent while the group changes", (t) => {
  const { campaign, advance } = createCampaign(1);
  advance(0);
  campaign.onHolderRead();
  advance(60);
  const member = { group: "electorate", isElected: false } as const;
  campaign.onJoined({ ...member, generation: 1, sentAt: 60 }, 64);
  t.deepEqual(advance(159), []);
  t.deepEqual(advance(160), ["group.join electorate"]);
  campaign.onJoined({ ...member, generation: 1, sentAt: 160 }, 164);
  t.deepEqual(advance(260), []);
  t.deepEqual(advance(510), ["group.join electorate"]);
});
