#!/bin/bash
# The stand-ins of the cases are Python files that need only the standard
# library, so there is nothing to build; this checks that they compile.
set -e
cd "$(dirname "$0")"
python3 - <<'END'
import pathlib

for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
END
