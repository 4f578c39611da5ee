#!/bin/sh
# Builds what the cases 6 to 10 start beside the deploy file's build: their stand-ins, which need
# the standard library alone.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/standins_2 review/6 review/7 review/8
