#!/bin/bash
# Builds the stand-ins that the scripts of the second review start. The only one
# that is a process of its own is the project's store stand-in, a command of the
# bundle that the `build` line of the deploy file makes; the others are plain
# modules in `review/lib-2`. Needs no network.
cd "$(dirname "$0")/.." || exit 2
node --import=tsx tools/build_bundle.ts target --max-semi-space-size=1 || exit 2
node target/plumloft.cjs stand-in store --help > /dev/null || exit 2
for module in review/lib-2/*.mjs review/[4-8]/*.mjs; do
  [ -e "$module" ] || continue
  node --check "$module" || exit 2
done
