#!/bin/sh
# Builds the stand-ins that the cases 6 to 10 start, after the build of the deploy file; run from
# anywhere, with the mirrors at hand. Some cases start the manager of the xDS front and proxies on
# the project's client library: what these need beside deploy/run.txt are the libraries under "Run"
# in requirements.txt.
set -eu
cd "$(dirname "$0")/.."
libraries=$(sed -n '/^# Run/,/^# Check/p' requirements.txt | grep -v -e '^#' -e '^-r')
.venv/bin/python -c 'import attrs, cattrs, click, envoy, google.protobuf, h2, lmdb, msgpack, structlog, xxhash' 2>/dev/null ||
  .venv/bin/python -m pip install -q $libraries
.venv/bin/python -m compileall -q review dunlinlug
