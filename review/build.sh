#!/bin/sh
# The stand-ins of the cases are Python 3 without further packages; this checks that they compile.
cd "$(dirname "$0")" && exec python3 -B - <<'PY'
import glob
for path in glob.glob("*/*.py") + glob.glob("../standins/registry_platform.py"):
    with open(path, encoding="utf-8") as text:
        compile(text.read(), path, "exec")
PY
