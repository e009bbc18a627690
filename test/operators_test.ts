import test from "ava";
import { cpSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { Deployment, waitFor } from "./support/deployment.ts";

const checks = { token: true, lease: true, echo: true };
let deployment: Deployment;

test.before(async () => {
  deployment = await Deployment.start({
    entries: 2,
    services: [
      { name: "apothiki", keyHeader: "x-stock-key", servers: 2, checks },
    ],
  });
});

test.after.always(() => deployment.stop());

/** A copy of the published folder, with the service's timeout changed. */
function edited(name: string, timeout: number): string {
  const folder = join(deployment.folder, name);
  cpSync(deployment.configurationFolder, folder, { recursive: true });
  const file = join(folder, "base.yaml");
  const text = readFileSync(file, "utf8");
  writeFileSync(
    file,
    text.replace("maximumTimeout", `timeout: ${timeout}\n    maximumTimeout`),
  );
  return folder;
}

test.serial("operators: of two racing publications one is accepted", async (t) => {
  const log = `http://${deployment.log.address}`;
  const publish = (folder: string) =>
    deployment.run("config", "publish", folder, "--log", log);
  const [one, two] = [edited("one", 700), edited("two", 800)];
  const results = await Promise.all([publish(one), publish(two)]);
  t.deepEqual(results.map(({ code }) => code).sort(), [0, 3]);
  const refused = results.find(({ code }) => code === 3)!;
  t.regex(
    refused.output,
    /^refused: based on revision \d+, but \d+ is in force/,
  );
  t.regex(
    refused.output,
    /~ base\.services\.apothiki\.timeout: [78]00 -> [78]00/,
  );
  const accepted = results.find(({ code }) => code === 0)!;
  const revision = Number(/revision (\d+)/.exec(accepted.output)![1]);
  await waitFor("the revision to be in force at both VMs", async () => {
    const states = await Promise.all(
      deployment.entries.map((entry) => deployment.status(entry)),
    );
    return states.every((state) => state.revision === revision);
  });
  const history = await deployment.run("config", "history", "--log", log);
  t.regex(history.output, /refused: based on revision/);
});

test.serial("operators: a publication whose answer is lost is found", async (t) => {
  await deployment.setLogFaults({ loseAnswers: 1 });
  const { code, output } = await deployment.run(
    "config",
    "publish",
    edited("three", 900),
    "--log",
    `http://${deployment.log.address}`,
    "--based-on",
    String((await deployment.status(deployment.entries[0])).revision),
    "--wait",
    ...deployment.entries.map((entry) => entry.admin),
  );
  t.is(code, 0, output);
  t.is(output.match(/in force at/g)?.length, 2);
});

test.serial("operators: input that has to be mended gives exit code 2", async (t) => {
  const folder = edited("bad", 1);
  const file = join(folder, "base.yaml");
  writeFileSync(file, `${readFileSync(file, "utf8")}colour: red\n`);
  const clean = (text: string) => text.replaceAll(deployment.folder, "FOLDER");
  const before = await deployment.status(deployment.entries[0]);
  const log = `http://${deployment.log.address}`;
  const results = [
    await deployment.run("config", "check", folder),
    await deployment.run("config", "publish", folder, "--log", log),
    await deployment.run("config", "check", "no-such-folder"),
    await deployment.run("serve", "--settings", "no-such-file.yaml"),
    await deployment.run("serve", "--colour"),
    await deployment.run("nonsense"),
  ];
  t.snapshot(results.map(({ code, errors }) => ({
    code,
    errors: clean(errors),
  })));
  const after = await deployment.status(deployment.entries[0]);
  t.is(after.revision, before.revision);
});

test.serial("operators: an address in use gives exit code 2", async (t) => {
  const [entry] = deployment.entries;
  const { code, errors } = await deployment.run(...entry.arguments);
  t.is(code, 2);
  t.regex(errors, /entry-1\.yaml:\d+: peer: expected an address of this VM/);
});

test.serial("operators: a VM id in use gives exit code 2", async (t) => {
  const [entry, other] = deployment.entries;
  const file = join(deployment.folder, "duplicate.yaml");
  const [listen, admin, peer] = deployment.freeAddresses(3);
  const text = readFileSync(join(deployment.folder, "entry-1.yaml"), "utf8")
    .replace(/^listen: .*$/m, `listen: ${listen}`)
    .replace(/^admin: .*$/m, `admin: ${admin}`)
    .replace(/^peer: .*$/m, `peer: ${peer}`);
  writeFileSync(file, text);
  const { code, errors } = await deployment.run("serve", "--settings", file);
  t.is(code, 2);
  t.regex(errors, /duplicate\.yaml:\d+: vm: expected a VM id of its own/);
  for (const each of [entry, other]) {
    t.true((await deployment.status(each)).member, "the others go on");
  }
});

test.serial("operators: status shows one VM", async (t) => {
  const [entry] = deployment.entries;
  const text = await deployment.run("status", "--vm", entry.admin);
  t.is(text.code, 0);
  t.regex(text.output, /^VM entry-1 \(incarnation \d+\)/);
  const json = await deployment.run("status", "--vm", entry.admin, "--json");
  t.is(JSON.parse(json.output).vm, "entry-1");
  const missing = await deployment.run("status", "--vm", "127.0.0.1:1");
  t.is(missing.code, 1);
  t.regex(missing.errors, /read status at 127\.0\.0\.1:1: .*ECONNREFUSED/);
});
