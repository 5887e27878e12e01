#!/bin/sh
# Builds the stand-ins of the cases: they need the standard library alone, so they are only compiled.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review
