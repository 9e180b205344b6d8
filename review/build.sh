#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python programs that need the standard library only,
# so this only checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.py */case.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
