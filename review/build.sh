#!/bin/sh
# Builds what the scripts start besides the entry processes. The upstreams and
# clients in review/lib are plain JavaScript for Node and need no build. The
# store is the project's stand-in, which the build of the deploy file puts into
# target/; it is built here only if that has not been done.
set -e
cd "$(dirname "$0")/.."
if [ ! -f target/plumloft.cjs ]; then
  node --import=tsx tools/build_bundle.ts target --max-semi-space-size=1
fi
node --max-semi-space-size=1 target/plumloft.cjs stand-in --help > /dev/null
for each in review/lib/*.mjs review/[0-9]/*.mjs; do node --check "$each"; done
