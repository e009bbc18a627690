import test from "ava";
import fc from "fast-check";
import { Fingerprint, type FingerprintParts, headOf } from "./fingerprint.ts";

const PARTS = {
  method: "POST",
  host: "h.example",
  target: "/a?b=1",
  body: Buffer.from("body"),
};

const completeFingerprint = (change: Partial<FingerprintParts> = {}) =>
  Fingerprint.create({ ...PARTS, ...change }).complete;

test("fingerprint: is the same for equal requests and differs if any part differs", (t) => {
  t.is(completeFingerprint(), completeFingerprint());
  const changes: Partial<FingerprintParts>[] = [
    { method: "PUT" },
    { host: "g.example" },
    { target: "/a?b=2" },
    { body: Buffer.from("bodz") },
    { body: Buffer.alloc(0) },
  ];
  t.is(
    new Set([completeFingerprint(), ...changes.map(completeFingerprint)]).size,
    changes.length + 1,
  );
});

test("fingerprint: the complete fingerprint of a request without a body is its head", (t) => {
  const { head, complete } = Fingerprint.create({
    ...PARTS,
    body: Buffer.alloc(0),
  });
  t.is(complete, head);
});

test("fingerprint: the complete fingerprint begins with the head for any body", (t) => {
  fc.assert(fc.property(fc.uint8Array({ maxLength: 200 }), (body) => {
    const fingerprint = Fingerprint.create({ ...PARTS, body });
    t.is(headOf(fingerprint.complete), fingerprint.head);
  }));
});

test("fingerprint: the body is hashed at most once, and not for the head", (t) => {
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
