#!/bin/sh
# Checks the stand-ins that the cases 6 to 10 start. They are plain JavaScript, so there is nothing to compile. The cases start
# no stand-in of the project itself, only the build of the deploy file (`target/`).
cd "$(dirname "$0")/.." || exit 2
for file in review/standins-2/*.js review/[6-9]/*.js review/10/*.js; do
  [ -e "$file" ] || continue
  node --check "$file" || exit 2
done
[ -e target/launcher.cjs ] || { echo 'target/launcher.cjs is missing: run the build of the deploy file first' >&2; exit 2; }
