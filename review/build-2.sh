#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10: plain Python on the interpreter of the deploy file's build.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review/stand_ins_2.py $(find review/[6-9] review/10 -name "*.py" 2>/dev/null)
