"""Messages between fronts, notes and orders of the summary. Times are whole microseconds of the instance's
own clock.
"""

from typing import NamedTuple

from limepath.membership.interface import Message

MOST = 256  # counts in a summary
CARRIED = 48  # in one datagram
LARGEST = 1e6  # a count above this is nobody's


class RequestCountsQuery(Message, tag="ta"):
    """Tell me what is asked for most."""


class RequestCounts(Message, tag="tt"):
    """(object, part, count), the highest key first; `age` since the last GET that was counted; `of` messages
    in all. A front that is new itself tells 0 counts.
    """

    age: int
    counts: tuple[tuple[int, int, float], ...]
    at: int = 0
    of: int = 1


MESSAGES = (RequestCountsQuery, RequestCounts)


# Notes in


class PeerMessage(NamedTuple):
    token: int
    message: Message


class CountsRead(NamedTuple):
    """The module's own table: (object, part, count), for whom `token` asked."""

    token: int
    counts: tuple


# Orders out


class ReadCounts(NamedTuple):
    """Ask the module for its table."""

    token: int
    most: int


class AddCounts(NamedTuple):
    """Hand these to the module."""

    counts: tuple


class SendToMember(NamedTuple):
    token: int
    message: Message
