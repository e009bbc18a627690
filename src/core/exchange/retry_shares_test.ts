import test from "ava";
import { RetryShares } from "./retry_shares.ts";

const WINDOW_SECONDS = 10;
/** Time after the start of a term after which shares are granted. */
const GRANTED_FROM = 16_500;

function create(term: () => number | null = () => null): RetryShares {
  return RetryShares.create(WINDOW_SECONDS, term);
}

test("retry shares: a share expires 1.5 s after the report that was answered with it", (t) => {
  const shares = create();
  t.is(shares.minimumShare(0), 0);
  shares.receive(0.25, 1_000, 1_400);
  t.is(shares.minimumShare(2_499), 0.25);
  t.is(shares.minimumShare(2_500), 0);
});

// Guards against shares that two holders grant at the same time.
test("retry shares: they are granted with the authority, once earlier ones have expired", (t) => {
  let term: number | null = 1;
  const shares = create(() => term);
  const grantAt = (now: number) => shares.grant("a", now);
  t.is(grantAt(0), 0);
  t.is(grantAt(GRANTED_FROM - 1), 0);
  t.is(grantAt(GRANTED_FROM), 0.5);
  term = null;
  t.is(grantAt(GRANTED_FROM + 500), 0);
  // The same term: no other VM has had the authority meanwhile.
  term = 1;
  t.is(grantAt(GRANTED_FROM + 1_000), 0.5);
  term = 3;
  t.is(grantAt(GRANTED_FROM + 1_500), 0);
  t.is(grantAt(2 * GRANTED_FROM + 1_500), 0.5);
});

test("retry shares: the VM with the authority has a share like the others", (t) => {
  const shares = create(() => 1);
  for (let now = 0; now <= 20_000; now += 100) {
    shares.renewOwn("own", now);
    if (now % 500 === 0) shares.grant("a", now);
  }
  t.is(shares.minimumShare(20_000), 0.25);
});
