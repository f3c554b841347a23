#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start. They are plain
# JavaScript, so that there is nothing to compile: checks that each can be read.
set -e
cd "$(dirname "$0")"
for file in lib_2/*.mjs 6/*.mjs 7/*.mjs 8/*.mjs 9/*.mjs 10/*.mjs; do
  [ ! -e "$file" ] || node --check "$file"
done
