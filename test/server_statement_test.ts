/**
 * What backend servers state of themselves in the headers of responses.
 *
 * @module
 */
import test from "ava";
import { PlatformHeaderCodec } from "../platform/index.ts";
import { serverStatement } from "./support/server_statement.ts";

const readStatement = (status: number, headers: Record<string, string>) =>
  PlatformHeaderCodec.create().readResponse(status, headers, "r-1").statement;

test("headers: a response states that its server is leaving only with the value 1", (t) => {
  for (const status of [200, 421, 500, 503]) {
    const statement = readStatement(status, { "server-leaving": "1" });
    t.true(statement.isLeaving, String(status));
    t.deepEqual(statement.ignored, []);
  }
  // Node joins the values of a repeated header.
  t.true(readStatement(200, { "server-leaving": "1, 1" }).isLeaving);
  for (const value of ["", "0", "2", "-1", "true", "yes", "1, 0", "1;q=1"]) {
    const statement = readStatement(200, { "server-leaving": value });
    t.false(statement.isLeaving, value);
    t.deepEqual(statement.ignored, [{ name: "server-leaving", value }]);
  }
  t.false(readStatement(200, {}).isLeaving);
});

test("headers: Retry-After with status 503 is a backoff in decimal seconds, shortened to a minute", (t) => {
  const read = (value: string, status = 503) =>
    readStatement(status, { "retry-after": value });
  t.deepEqual(
    ["3", "0", "0.25", "60"].map((value) => read(value)),
    [3_000, 0, 250, 60_000].map((backoff) => serverStatement({ backoff })),
  );
  for (const value of ["61", "3000000", "9".repeat(400)]) {
    const ignored = [{ name: "retry-after", value: value.slice(0, 64) }];
    t.deepEqual(read(value), serverStatement({ backoff: 60_000, ignored }));
  }
  for (
    const value of [
      "",
      "-3",
      "+3",
      "3s",
      "1e3",
      "NaN",
      "Infinity",
      "3, 5",
      "Thu, 03 Dec 2026 18:00:00 GMT",
    ]
  ) {
    const ignored = [{ name: "retry-after", value }];
    t.deepEqual(read(value), serverStatement({ ignored }), value);
  }
  for (const status of [200, 301, 421, 429, 500, 502, 504]) {
    const ignored = [{ name: "retry-after", value: "3" }];
    t.deepEqual(read("3", status), serverStatement({ ignored }));
  }
});

// Guards against a load that other VMs cut the connection for when it is passed
// on, and against one that keeps its server out of use for minutes.
test("headers: a load consists of whole numbers of up to four digits", (t) => {
  const read = (load: string) =>
    readStatement(200, { "x-plumloft-server-load": load });
  const valid = ["0,0,0", "3,0,8", "3, 1, 8", "9999,9999,9999", "1,2,3,4"];
  for (const value of valid) {
    const [running, waiting, slots] = value.split(",").map(Number);
    t.deepEqual(read(value).load, { running, waiting, slots }, value);
  }
  const invalid = [
    "",
    "1,2",
    ",,",
    "-1,0,3",
    "1.5,0,3",
    "1e300,1e300,1e300",
    "10000,0,3",
    "0x1,0,3",
    "Infinity,0,3",
    "1 2,0,3",
  ];
  for (const value of invalid) {
    const { load, ignored } = read(value);
    t.is(load, null, value);
    t.deepEqual(ignored, [{ name: "x-plumloft-server-load", value }]);
  }
});

test("headers: invalid loads and rate limits are named for the log", (t) => {
  const { load, rateLimit, ignored } = readStatement(200, {
    "x-plumloft-server-load": "2,x",
    "server-limit": "-6",
  });
  t.is(load, null);
  t.is(rateLimit, undefined);
  t.deepEqual(ignored, [
    { name: "x-plumloft-server-load", value: "2,x" },
    { name: "server-limit", value: "-6" },
  ]);
});
