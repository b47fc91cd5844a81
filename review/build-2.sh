#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are plain modules of Node.js without dependencies, so they are only checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins-2/*.mjs {6,7,8,9,10}/*.mjs; do
	if [ -e "$file" ]; then
		node --check "$file"
	fi
done
