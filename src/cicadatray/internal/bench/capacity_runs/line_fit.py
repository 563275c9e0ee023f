"""A straight line fitted to measured points."""

import msgspec


class Point(msgspec.Struct, frozen=True):
    """One measurement."""

    size: float
    value: float


class LineFit(msgspec.Struct, frozen=True):
    """The line `value = base + slope * size`, fitted by least squares to `points`."""

    base: float
    slope: float
    points: tuple[Point, ...]


def fit_line(points: list[Point]) -> LineFit:
    """Fits a line to at least two points of different sizes."""
    count = len(points)
    mean_size = sum(point.size for point in points) / count
    mean_value = sum(point.value for point in points) / count
    squared_deviations = sum((point.size - mean_size) ** 2 for point in points)
    cross_deviations = sum((p.size - mean_size) * (p.value - mean_value) for p in points)
    slope = cross_deviations / squared_deviations
    return LineFit(mean_value - slope * mean_size, slope, tuple(points))
