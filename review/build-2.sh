#!/usr/bin/env bash
# Builds the cases 6 to 10 with their stand-ins into target/review-2/. Needs the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
for folder in review/6 review/7 review/8 review/9 review/10; do
  [ -e "$folder/case.ts" ] || continue
  node_modules/.bin/esbuild "$folder/case.ts" --bundle --platform=node --target=node20 \
    --format=esm --log-level=warning --outfile="target/review-2/$(basename "$folder").mjs"
done
