#!/bin/sh
# The stand-ins of the review are plain modules for Node without dependencies; this checks that they can be loaded.
cd "$(dirname "$0")" || exit 1
for file in standins/*.mjs */case.mjs; do
  [ -e "$file" ] || continue
  node --check "$file" || exit 1
done
