"""Dissemination of news on the messages of the checks (SWIM, section 4.1)."""

from collections import OrderedDict
from itertools import islice
from math import ceil, log2

from limepath.membership.interface import MemberState

MAX_RECORDS = 8  # news on one message
RETRANSMIT_MULTIPLIER = 3  # times log2 of the view, that a piece of news is passed on


class BroadcastQueue:
    """News that is still to be passed on, the next first, each so many times more."""

    def __init__(self):
        self.left = OrderedDict()

    def __contains__(self, token):
        return token in self.left

    def pass_on(self, news, live):
        """Queue what has just been learnt, in a view of so many others."""
        self.left[news.token] = news, RETRANSMIT_MULTIPLIER * ceil(log2(live + 2))
        self.left.move_to_end(news.token, last=False)  # the newest goes first, then each in its turn

    def carried(self, own):
        """News for one message: what the receiver itself should refute (`own`, or None), then the newest."""
        carried = [own] if own and own.state not in (MemberState.ALIVE, MemberState.LEFT) else []
        for token in list(islice(self.left, MAX_RECORDS - len(carried))):
            news, left = self.left.pop(token)
            carried.append(news)
            if left > 1:
                self.left[token] = news, left - 1  # behind all others
        return tuple(carried)

    def drop(self, token):
        """Pass nothing on about this one."""
        self.left.pop(token, None)

    def clear(self):
        """Pass nothing on of what is known by now."""
        self.left.clear()
