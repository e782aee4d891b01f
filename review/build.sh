#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/. Run after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/*/case.ts; do
  number="$(basename "$(dirname "$case")")"
  npx esbuild "$case" --bundle --platform=node --target=node20 --format=esm \
    --main-fields=module,main --alias:cbor-extract=./scripts/no-native-addon.ts \
    --log-level=warning --outfile="target/review/case-$number.mjs"
done
