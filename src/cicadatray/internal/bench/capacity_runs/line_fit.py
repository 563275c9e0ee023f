"""A straight line through measured points."""

import msgspec


class Point(msgspec.Struct, frozen=True):
    """One measurement."""

    size: float
    value: float


class LineFit(msgspec.Struct, frozen=True):
    """`value = base + slope * size`, by least squares."""

    base: float
    slope: float
    points: tuple[Point, ...]


def fit_line(points: list[Point]) -> LineFit:
    """Returns the line through at least two points of different sizes."""
    count = len(points)
    mean_size = sum(point.size for point in points) / count
    mean_value = sum(point.value for point in points) / count
    spread = sum((point.size - mean_size) ** 2 for point in points)
    shared = sum((p.size - mean_size) * (p.value - mean_value) for p in points)
    slope = shared / spread
    return LineFit(mean_value - slope * mean_size, slope, tuple(points))
