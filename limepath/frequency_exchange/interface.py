"""Messages between fronts, and events and commands between the exchange and its host.

Times are integers in microseconds of the instance's clock.
"""

from typing import NamedTuple

from limepath.membership.interface import Message

MAX_COUNTS = 256  # maximum number of counts in an answer
COUNTS_PER_MESSAGE = 48
MAX_COUNT_VALUE = 1e6  # more requests than a front can count for one object within its table's age

ObjectCount = tuple[int, int, float]
"""An object, a part of the object, and the number of requests for that part."""


class RequestCountsQuery(Message, tag="ta"):
    """A query for the request counts of the receiver."""


class RequestCounts(Message, tag="tt"):
    """One chunk of a front's request counts, highest key first. A new front sends one chunk without counts.

    Attributes:
        age: the time since the sender last counted a request.
        counts: the counts in this chunk.
        chunk: the number of this chunk, from 0.
        chunks: the total number of chunks.
    """

    age: int
    counts: tuple[ObjectCount, ...]
    chunk: int = 0
    chunks: int = 1


MESSAGES = (RequestCountsQuery, RequestCounts)


# Events


class PeerMessage(NamedTuple):
    """A message of another front was received. `token` identifies the sender."""

    token: int
    message: Message


class CountsRead(NamedTuple):
    """The decision module has answered the `ReadCounts` command with the same `token`."""

    token: int
    counts: tuple[ObjectCount, ...]


# Commands


class ReadCounts(NamedTuple):
    """Read up to `most` of the highest counts from the decision module, for the front with this `token`."""

    token: int
    most: int


class AddCounts(NamedTuple):
    """Add counts of another front to the decision module's table."""

    counts: tuple[ObjectCount, ...]


class SendToMember(NamedTuple):
    """Send a message to the front with this `token`."""

    token: int
    message: Message
