#!/bin/sh
# Builds every stand-in that the scripts of review/4 to review/8 start. They are plain modules for Node.js 20 in review/lib-2, run as they are;
# this checks that they can be read, and that the programs of the deploy file were built.
set -e
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root"
for file in review/lib-2/*.mjs review/[4-8]/*.mjs; do
  if [ -e "$file" ]; then
    node --check "$file"
  fi
done
test -f target/ternmount.cjs || { echo "target/ternmount.cjs is missing: run the build of deploy/system.toml first" >&2; exit 1; }
