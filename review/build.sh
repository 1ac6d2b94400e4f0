#!/bin/sh
# Builds the stand-ins that the scripts start.  All of them are written in
# Python and run from review/lib, so nothing is compiled; this checks that the
# program of the deploy file was built and that the stand-ins can be loaded.
cd "$(dirname "$0")/.." || exit 2
test -x target/mulberryshift || {
  echo "target/mulberryshift is missing: run the build of deploy/system.toml" >&2
  exit 2
}
PYTHONDONTWRITEBYTECODE=1 python3 -c '
import ast, glob, sys
for name in glob.glob("review/lib/*.py") + glob.glob("review/*/run.py"):
    with open(name, encoding="utf-8") as file:
        ast.parse(file.read(), name)
sys.path.insert(0, "review/lib")
import rig
'
