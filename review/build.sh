#!/usr/bin/env bash
# The stand-ins and scripts of the cases are plain JavaScript without dependencies, so nothing is
# compiled: this only checks that Node.js reads them.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do
  [ -e "$file" ] && node --check "$file"
done
