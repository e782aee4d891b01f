#!/usr/bin/env bash
# Builds the programs of the cases 11 to 15, with every stand-in that they start, below target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
for program in review/1[1-5]/case.ts; do
  [ -e "$program" ] || continue
  name=$(basename "$(dirname "$program")")
  node_modules/.bin/esbuild "$program" --bundle --platform=node --target=node20 --format=cjs \
    --log-level=warning --outfile="target/review-3/$name.cjs"
done
