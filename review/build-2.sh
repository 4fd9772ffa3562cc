#!/bin/sh
# Prepares the cases 4 to 8, after the build of the deploy file. Their stand-ins are plain JavaScript and use only the
# project's own dependency cbor-x, so nothing is compiled: this checks that each file can be loaded on this machine.
set -e
cd "$(dirname "$0")"
node --check stand-ins-2.mjs
node -e "import('./stand-ins-2.mjs').catch((error) => { console.error(error); process.exit(1); })"
for case in 4 5 6 7 8; do
  if [ -f "$case/case.mjs" ]; then node --check "$case/case.mjs"; fi
done
