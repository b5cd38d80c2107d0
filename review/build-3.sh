#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/15 start beside the deployed program: the project's own stand-ins, in dist/.
set -euo pipefail
cd "$(dirname "$0")/.."
[ node_modules -nt package-lock.json ] || npm ci --silent --no-audit --no-fund
npm run build --silent
