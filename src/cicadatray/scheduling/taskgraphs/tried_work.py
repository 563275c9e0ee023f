"""The waiting work that rounds have tried in vain."""

# A step of an occurrence of a graph, and the first of the tasks.
WorkKey = tuple[str, int, int, int]


class TriedWork:
    """The work that was tried since all waiting work had its turn; kept in `RuleMemory`.

    A round that ends before it has come to the end of a large backlog tries the work of the highest
    rank, and then work that no round has tried yet.
    """

    __slots__ = ("keys",)

    def __init__(self) -> None:
        self.keys: set[WorkKey] = set()
