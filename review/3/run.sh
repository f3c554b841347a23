#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case can't run.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/corianderflowd.js ] || exit 2
[ -f review/build/metadata_store.mjs ] || exit 2
exec node review/3/case.mjs
