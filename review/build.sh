#!/usr/bin/env bash
# The stand-ins of the cases are plain modules of Node.js without dependencies, so there is nothing to compile: this only
# checks that all of them can be parsed.
set -euo pipefail
cd "$(dirname "$0")"
for file in harness/*.mjs */case.mjs; do
	node --check "$file"
done
