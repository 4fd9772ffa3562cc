#!/bin/sh
# Builds the version in production (`production` in deploy/service.toml) from the repository's history into
# target/review-production, with the packages that are installed already. Cases that play the upgrade start it.
set -e
cd "$(dirname "$0")/.."
commit=$(sed -n 's/^production = "\(.*\)"$/\1/p' deploy/service.toml)
folder=target/review-production
rm -rf "$folder"
mkdir -p "$folder"
git archive "$commit" src package.json tsconfig.json | tar -x -C "$folder"
bundle="node_modules/.bin/esbuild --bundle --platform=node --target=node20 --log-level=warning"
stubs="$folder/src/module-stubs"
$bundle "$folder/src/main.ts" --alias:mime-db="./$stubs/mime-db.ts" --alias:iconv-lite="./$stubs/iconv-lite.ts" \
  --outfile="$folder/target/program.js"
$bundle "$folder/src/launch.ts" --outfile="$folder/target/main.js"
