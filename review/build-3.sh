#!/bin/sh
# Prepares what the scripts of review/11 to review/15 start. The stand-ins are Python files without
# dependencies, so that compiling them finds what could not run.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q common_3 1[1-5]
