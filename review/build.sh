#!/bin/sh
# Builds the stand-ins that the cases start, into review/build/. Run it after
# the build of the deploy file, which installs the packages.
set -eu
cd "$(dirname "$0")/.."
node_modules/.bin/esbuild testing/metadata_store.ts \
  --outfile=review/build/metadata_store.mjs \
  --bundle --platform=node --target=node20 --format=esm --log-level=warning
