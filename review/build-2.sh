#!/usr/bin/env bash
# The stand-ins of the cases 6 to 10 use the standard library only, so nothing has to be built. The
# programs are those that the build line of deploy/system.toml makes.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$PWD" python3 -c 'import common_2.case'
