#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into target/review_3/, after the
# build of the deploy file. Needs no network.
set -e
cd "$(dirname "$0")/.."
node review/lib_3/build.mjs
