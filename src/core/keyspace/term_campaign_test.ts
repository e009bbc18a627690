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
    campaign.advance([], now, 0).map((each) =>
      "group" in each ? `${each.kind} ${each.group}` : each.kind
    );
  return { campaign, advance };
}

test("campaign: a VM that hears of a fitter one leaves the electorate with a call", (t) => {
  const { campaign, advance } = createCampaign(0.5);
  const membership = { generation: 1, isElected: false, sentAt: 0 };
  t.deepEqual(advance(0), ["group.join observers"]);
  campaign.joined({ ...membership, group: "observers" }, 4);
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
  advance(60);
  const member = { group: "electorate", isElected: false } as const;
  campaign.joined({ ...member, generation: 1, sentAt: 60 }, 64);
  t.deepEqual(advance(159), []);
  t.deepEqual(advance(160), ["group.join electorate"]);
  campaign.joined({ ...member, generation: 1, sentAt: 160 }, 164);
  t.deepEqual(advance(260), []);
  t.deepEqual(advance(510), ["group.join electorate"]);
});
