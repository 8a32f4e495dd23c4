#!/usr/bin/env bash
# Prepares the scripts of the third review. Their stand-ins (store, upstreams,
# consumers) are Python modules that need only the standard library; this checks
# that they compile. The daemon comes from the build of the deploy file.
set -eu
cd "$(dirname "$0")"
command -v python3 >/dev/null
for Module in common-3/*.py 1[1-5]/case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$Module"
done
