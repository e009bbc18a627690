import test from "ava";
import { EntryMetrics } from "./entry_metrics.ts";
import { returnMetrics } from "./return_metrics.ts";

// Guards the names that operators' dashboards use.
test("return metrics: each service has a counter for each result", (t) => {
  const counts = new Map([
    ["orders", { promised: 3, returned: 2, refusedAgain: 1 }],
  ]);
  const metrics = EntryMetrics.create(() => returnMetrics(counts));
  t.is(
    metrics.render(),
    'plumloft_returns_total{service="orders",result="promised"} 3\n' +
      'plumloft_returns_total{service="orders",result="returned"} 2\n' +
      'plumloft_returns_total{service="orders",result="refused_again"} 1\n',
  );
});
