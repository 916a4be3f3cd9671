#!/usr/bin/env bash
# Checks the stand-ins of the scripts 6 and up, which need no more than Python 3.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - standin-2/*.py [0-9]*/case.py <<'CHECK'
import sys
from pathlib import Path
if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or newer is needed")
for path in sys.argv[1:]:
    compile(Path(path).read_text(), path, "exec")
CHECK
