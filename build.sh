#!/usr/bin/env bash
# Tasks of the repository. Each sets up the pinned environment by itself.
set -euo pipefail
cd "$(dirname "$0")"
VENV="${CICADATRAY_VENV:-$PWD/.venv}"
export PYTHONPATH="$PWD/src"
export PYTHONDONTWRITEBYTECODE=1
# The order of sets of texts must not differ between two runs of the same tests.
export PYTHONHASHSEED=0

setup() {
  if [ ! -x "$VENV/bin/python" ]; then
    python3 -m venv "$VENV"
  fi
  if ! cmp -s requirements.txt "$VENV/requirements.txt"; then
    "$VENV/bin/pip" install --quiet --disable-pip-version-check -r requirements.txt
    # Makes `cicadatray` and `cicadatrayd`; the build tool is pinned with the other packages.
    "$VENV/bin/pip" install --quiet --disable-pip-version-check --no-build-isolation --no-deps -e .
    cp requirements.txt "$VENV/requirements.txt"
  fi
}

run() { "$VENV/bin/python" "$@"; }

lint() {
  "$VENV/bin/black" --check --quiet src tests
  "$VENV/bin/ruff" check --quiet --no-cache src tests
  "$VENV/bin/mypy" --cache-dir .mypy_cache --no-error-summary
}

# Builds the programs of deploy/system.toml as a clean checkout does, and imports what they import.
deploy() {
  bash -c "$(run -c 'import tomllib; print(tomllib.load(open("deploy/system.toml", "rb"))["build"])')"
  PYTHONPATH=target/deps:src python3 -c 'import cicadatray.platform.control_role, cicadatray.platform.entry_role, cicadatray.platform.agent_role'
}

task="${1:-help}"
[ $# -gt 0 ] && shift
case "$task" in
  setup) setup ;;
  format) setup; "$VENV/bin/black" --quiet src tests; "$VENV/bin/ruff" check --quiet --no-cache --fix src tests ;;
  lint) setup; lint ;;
  cover) setup; run -m pytest tests/cover "$@" ;;
  nocover) setup; run -m pytest tests/nocover "$@" ;;
  deploy) setup; deploy ;;
  test) setup; lint; deploy; run -m pytest -n 6 tests "$@"; run -m cicadatray.internal.bench.known_red ;;
  model) setup; run -m cicadatray.internal.models.main "$@" ;;
  quickstart) setup; run -m cicadatray.internal.bench.quickstart "$@" ;;
  measure) setup; run -m cicadatray.internal.bench.measure "$@" ;;
  experiment) setup; run -m cicadatray.internal.bench.experiment "$@" ;;
  capacity) setup; run -m cicadatray.internal.bench.capacity "$@" ;;
  faults) setup; run -m cicadatray.internal.bench.faults "$@" ;;
  backlog) setup; run -m cicadatray.internal.bench.backlog "$@" ;;
  soak) setup; PYTHONPATH=src:tests run -m nocover.configuration_soak.main "$@" ;;
  reference) setup; run -m cicadatray.internal.settings.reference > docs/settings.md ;;
  *) echo "usage: ./build.sh setup|format|lint|cover|nocover|test|model|deploy|quickstart|measure|experiment|capacity|faults|backlog|soak|reference" ;;
esac
