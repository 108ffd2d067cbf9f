"""Messages between fronts, and events and commands between the logic and its host.

Times are whole microseconds of the instance's own clock.
"""

from typing import NamedTuple

from limepath.membership.interface import Message

MAX_COUNTS = 256  # in a summary
COUNTS_PER_MESSAGE = 48
MAX_COUNT_VALUE = 1e6  # no front counts more requests of one object within the age of its table

ObjectCount = tuple[int, int, float]
"""An object, its part, and how often that was requested."""


class RequestCountsQuery(Message, tag="ta"):
    """Asks for the request counts of another front."""


class RequestCounts(Message, tag="tt"):
    """One chunk of a front's request counts, the highest key first. A front that is new itself sends none.

    Attributes:
        age: time since the sender last counted a request.
        counts: this chunk's counts.
        chunk: the number of this chunk, from 0.
        chunks: how many there are in all.
    """

    age: int
    counts: tuple[ObjectCount, ...]
    chunk: int = 0
    chunks: int = 1


MESSAGES = (RequestCountsQuery, RequestCounts)


# Events


class PeerMessage(NamedTuple):
    """A message of another front has arrived. `token` identifies its sender."""

    token: int
    message: Message


class CountsRead(NamedTuple):
    """The decision module has answered a `ReadCounts` of the same `token`."""

    token: int
    counts: tuple[ObjectCount, ...]


# Commands


class ReadCounts(NamedTuple):
    """Ask the decision module for its highest `most` counts, for the front with this `token`."""

    token: int
    most: int


class AddCounts(NamedTuple):
    """Hand counts of another front to the decision module."""

    counts: tuple[ObjectCount, ...]


class SendToMember(NamedTuple):
    """Send a message to the front with this `token`."""

    token: int
    message: Message
