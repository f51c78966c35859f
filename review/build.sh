#!/bin/sh
# Builds what the scripts of the review start beside the gateway of the deploy file. All stand-ins are Python programs of
# this repository without dependencies; this checks that they compile here.
set -e
cd "$(dirname "$0")/.."
for file in tests/gateway/standin.py review/harness.py review/*/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
