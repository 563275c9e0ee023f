#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python and need only the standard library, so this
# checks the version of Python and compiles them once.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(0 if sys.version_info >= (3, 11) else "Python 3.11 is needed")'
python3 -m compileall -q standins [1-5]
