"""Parses the Prometheus text exposition format."""

import re

import msgspec

SAMPLE_PATTERN = re.compile(r"(?P<name>[^\s{]+)(?:\{(?P<labels>.*)\})? (?P<value>\S+)")
LABEL_PATTERN = re.compile(r'(\w+)="((?:[^"\\]|\\.)*)"')
ESCAPE_PATTERN = re.compile(r"\\(.)")


class MetricSample(msgspec.Struct, frozen=True):
    """The value of a metric for one label set."""

    name: str
    labels: dict[str, str]
    value: float


def parse_metrics_text(text: str) -> list[MetricSample]:
    """Returns the samples; comments and malformed lines are skipped."""
    samples: list[MetricSample] = []
    for line in text.splitlines():
        match = SAMPLE_PATTERN.fullmatch(line)
        if line.startswith("#") or match is None:
            continue
        labels = {
            name: ESCAPE_PATTERN.sub(_unescape_match, value)
            for name, value in LABEL_PATTERN.findall(match["labels"] or "")
        }
        samples.append(MetricSample(match["name"], labels, float(match["value"])))
    return samples


def _unescape_match(match: re.Match[str]) -> str:
    return "\n" if match[1] == "n" else match[1]
