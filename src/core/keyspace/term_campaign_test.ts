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
  /** Steps at `now`, as text; membership calls go to one group each. */
  const advance = (now: number) =>
    campaign.advance([], now, 0, false).map((each) =>
      "group" in each ? `${each.kind} ${each.group}` : each.kind
    );
  return { campaign, advance };
}

// Seen: after all of 72 VMs were killed at once the first holder of the term had to
// give it up 2.2 s after its claim. The number of the group had grown by 99 by then:
// small VMs, slow at their start, stood for election before they had read who held
// the term last, heard of a fitter VM and left again, and each coming and going may
// pass the place on.
test("campaign: a VM stands for election only once it has read who held the term", (t) => {
  const { campaign, advance } = createCampaign(0.5);
  t.deepEqual(advance(0), ["group.join observers"]);
  const membership = { generation: 1, isElected: false, sentAt: 0 };
  campaign.joined({ ...membership, group: "observers" }, 4);
  t.deepEqual(advance(400), []);
  campaign.hearFitness(4, 410);
  campaign.holderRead();
  t.deepEqual(advance(420), []);
  // A store that does not tell keeps nobody from standing for long.
  const other = createCampaign(0.5);
  other.advance(0);
  other.campaign.joined({ ...membership, group: "observers" }, 4);
  t.deepEqual(other.advance(999), []);
  t.deepEqual(other.advance(1_000), ["group.join electorate"]);
});

test("campaign: a VM that hears of a fitter one leaves the electorate with a call", (t) => {
  const { campaign, advance } = createCampaign(0.5);
  const membership = { generation: 1, isElected: false, sentAt: 0 };
  t.deepEqual(advance(0), ["group.join observers"]);
  campaign.joined({ ...membership, group: "observers" }, 4);
  campaign.holderRead();
  t.deepEqual(advance(60), ["group.join electorate"]);
  campaign.joined({ ...membership, group: "electorate" }, 64);
  campaign.hearFitness(4, 100);
  t.deepEqual(advance(110), ["group.leave electorate", "group.join observers"]);
  // It comes forward when nobody fitter was heard of for a while.
  campaign.joined({ ...membership, group: "observers", sentAt: 110 }, 114);
  t.deepEqual(advance(3_000), ["group.join observers"]);
  campaign.joined({ ...membership, group: "observers", sentAt: 3_000 }, 3_004);
  t.deepEqual(advance(3_200), ["group.join electorate"]);
});

test("campaign: membership calls come fast while the group changes", (t) => {
  const { campaign, advance } = createCampaign(1);
  advance(0);
  campaign.holderRead();
  advance(60);
  const member = { group: "electorate", isElected: false } as const;
  campaign.joined({ ...member, generation: 1, sentAt: 60 }, 64);
  t.deepEqual(advance(159), []);
  t.deepEqual(advance(160), ["group.join electorate"]);
  campaign.joined({ ...member, generation: 1, sentAt: 160 }, 164);
  t.deepEqual(advance(260), []);
  t.deepEqual(advance(510), ["group.join electorate"]);
});
