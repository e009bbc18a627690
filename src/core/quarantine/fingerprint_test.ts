import test from "ava";
import fc from "fast-check";
import { Fingerprint, type FingerprintParts, headOf } from "./fingerprint.ts";

const PARTS = {
  method: "POST",
  host: "h.example",
  target: "/a?b=1",
  body: Buffer.from("body"),
};

const whole = (change: Partial<FingerprintParts> = {}) =>
  Fingerprint.create({ ...PARTS, ...change }).complete;

test("fingerprint: is equal for equal requests and differs with any part", (t) => {
  t.is(whole(), whole());
  const changes: Partial<FingerprintParts>[] = [
    { method: "PUT" },
    { host: "g.example" },
    { target: "/a?b=2" },
    { body: Buffer.from("bodz") },
    { body: Buffer.alloc(0) },
  ];
  t.is(new Set([whole(), ...changes.map(whole)]).size, changes.length + 1);
});

test("fingerprint: of a request without a body is its head", (t) => {
  const { head, complete: whole } = Fingerprint.create({
    ...PARTS,
    body: Buffer.alloc(0),
  });
  t.is(whole, head);
});

test("fingerprint: begins with its head, whatever the body", (t) => {
  fc.assert(fc.property(fc.uint8Array({ maxLength: 200 }), (body) => {
    const fingerprint = Fingerprint.create({ ...PARTS, body });
    t.is(headOf(fingerprint.complete), fingerprint.head);
  }));
});

test("fingerprint: hashes a body at most once, and not for the head", (t) => {
  let reads = 0;
  const parts = {
    ...PARTS,
    get body() {
      reads += 1;
      return PARTS.body;
    },
  };
  const fingerprint = Fingerprint.create(parts);
  void fingerprint.head;
  t.is(reads, 0);
  void fingerprint.complete;
  void fingerprint.complete;
  t.is(reads, 1);
});
