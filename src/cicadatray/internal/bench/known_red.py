"""Prints the tests that KNOWN-RED.txt lists, which CI does not run."""

from pathlib import Path

KNOWN_RED_FILE = Path("KNOWN-RED.txt")
TEST_PREFIX = "test:"


def read_known_red_tests(path: Path = KNOWN_RED_FILE) -> list[str]:
    """Returns the pytest node identifiers on the `test:` lines of the file."""
    if not path.exists():
        return []
    lines = path.read_text(encoding="utf-8").splitlines()
    return [line[len(TEST_PREFIX) :].strip() for line in lines if line.startswith(TEST_PREFIX)]


def main() -> None:
    """Prints each listed test, and their number."""
    tests = read_known_red_tests()
    for test in tests:
        print(f"known red, not run: {test}")
    print(f"{len(tests)} known red tests")


if __name__ == "__main__":
    main()
