"""The probes of workers whose speed is unknown."""


class ProbeTimes:
    """When unknown workers last got a single task to learn their speed."""

    __slots__ = ("started_s",)

    def __init__(self) -> None:
        self.started_s: dict[str, float] = {}
