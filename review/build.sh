#!/usr/bin/env bash
# The stand-ins are plain JavaScript without dependencies: there is nothing to compile, so this checks that Node.js can read them.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins/*.mjs [1-5]/*.mjs; do
	node --check "$file"
done
test -f ../target/knapweedrackd.mjs
