"""What operators have sent, and which versions may have decided a call."""

import bisect
import math

from nocover.configuration_soak.content import Content, first_content


class SentVersion:
    """One number, with each document that was sent under it.

    `pinned` is the position of the document that was read back, None until one was.
    """

    __slots__ = ("bodies", "confirmed_s", "contents", "first_sent_s", "pinned", "version")

    def __init__(self, version: int, first_sent_s: float) -> None:
        self.version = version
        self.first_sent_s = first_sent_s
        self.confirmed_s = math.inf
        self.bodies: list[bytes] = []
        self.contents: list[Content] = []
        self.pinned: int | None = None

    def possible_contents(self) -> list[Content]:
        """Returns what may be in force under this number."""
        return self.contents if self.pinned is None else [self.contents[self.pinned]]


class SentVersions:
    """All valid versions; times are in seconds of the steady clock.

    The highest version is in force, so a version that was confirmed or read back is the lowest
    that may decide a call that is sent later.
    """

    __slots__ = ("floor_times", "floor_versions", "highest", "newest", "versions")

    def __init__(self) -> None:
        self.versions: dict[int, SentVersion] = {}
        # The highest number in use, also by documents that are not valid.
        self.highest = 0
        self.newest = first_content()
        self.floor_times: list[float] = []
        self.floor_versions: list[int] = []

    def add(self, content: Content, body: bytes, now_s: float) -> SentVersion:
        """Records a document before it is sent for the first time."""
        sent = self.versions.setdefault(content.version, SentVersion(content.version, now_s))
        sent.bodies.append(body)
        sent.contents.append(content)
        self.highest = max(self.highest, content.version)
        if content.version > self.newest.version:
            self.newest = content
        return sent

    def reserve(self, version: int) -> None:
        """Keeps a number from being used for a valid document."""
        self.highest = max(self.highest, version)

    def record_known(self, version: int, now_s: float) -> None:
        """Records that a version was confirmed or read back."""
        if self.floor_versions and version <= self.floor_versions[-1]:
            return
        self.floor_times.append(now_s)
        self.floor_versions.append(version)

    def floor(self, sent_s: float) -> int:
        """Returns the lowest version that may decide a call sent at this time."""
        position = bisect.bisect_left(self.floor_times, sent_s)
        return self.floor_versions[position - 1] if position else 0

    def possible(self, sent_s: float, answered_s: float) -> list[SentVersion]:
        """Returns the versions that may decide a call between these two times."""
        lowest = self.floor(sent_s)
        return [
            sent
            for version, sent in self.versions.items()
            if version >= lowest and sent.first_sent_s < answered_s
        ]
