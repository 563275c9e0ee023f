"""The Prometheus text exposition format, version 0.0.4."""

from collections.abc import Iterable

TEXT_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
VALUE_ESCAPES = str.maketrans({"\\": r"\\", '"': r"\"", "\n": r"\n"})
HELP_ESCAPES = str.maketrans({"\\": r"\\", "\n": r"\n"})


def render_header(name: str, kind: str, help_text: str) -> list[str]:
    """Returns the two lines above the samples of a metric."""
    return [f"# HELP {name} {help_text.translate(HELP_ESCAPES)}", f"# TYPE {name} {kind}"]


def render_sample(name: str, labels: Iterable[tuple[str, str]], value: float) -> str:
    """Returns one sample line."""
    label_text = ",".join(f'{label}="{text.translate(VALUE_ESCAPES)}"' for label, text in labels)
    return f"{name}{{{label_text}}} {value:.10g}" if label_text else f"{name} {value:.10g}"
