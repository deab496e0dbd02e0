#!/usr/bin/env bash
# Builds the stand-ins of the cases: they are Python programs of the standard library alone, run by the
# interpreter that the build of the deploy file makes.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
