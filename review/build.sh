#!/bin/sh
# Builds the stand-ins of the cases: Python files of the standard library alone, compiled here to show faults early.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review
