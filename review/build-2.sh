#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are Python; nothing is
# compiled, but each file is checked.
set -eu
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - <<'PYTHON'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for folder in ("common-2", "6", "7", "8", "9", "10"):
    for path in sorted(pathlib.Path(folder).glob("*.py")):
        compile(path.read_text(), str(path), "exec")
PYTHON
