"""Reading of the text exposition format."""

import re

import msgspec

SAMPLE_PATTERN = re.compile(r"(?P<name>[^\s{]+)(?:\{(?P<labels>.*)\})? (?P<value>\S+)")
LABEL_PATTERN = re.compile(r'(\w+)="((?:[^"\\]|\\.)*)"')
ESCAPE_PATTERN = re.compile(r"\\(.)")


class MetricSample(msgspec.Struct, frozen=True):
    """One value of one label set."""

    name: str
    labels: dict[str, str]
    value: float


def parse_metrics_text(text: str) -> list[MetricSample]:
    """Returns the samples; comments and lines of another form are passed over."""
    samples: list[MetricSample] = []
    for line in text.splitlines():
        found = SAMPLE_PATTERN.fullmatch(line)
        if line.startswith("#") or found is None:
            continue
        labels = {
            name: ESCAPE_PATTERN.sub(_unescape, value)
            for name, value in LABEL_PATTERN.findall(found["labels"] or "")
        }
        samples.append(MetricSample(found["name"], labels, float(found["value"])))
    return samples


def _unescape(found: re.Match[str]) -> str:
    return "\n" if found[1] == "n" else found[1]
