"""Run the stories and the doctests."""

import doctest
import sys

from limepath import choice
from limepath.front import caches, changelog, clients, limits
from limepath.wirehost import frames
from tests import front_stories, stories, wire_stories

if __name__ == "__main__":
    known = vars(stories) | vars(wire_stories) | vars(front_stories)
    told = [(name, story) for name, story in known.items() if name.startswith("test_")]
    flawed = 0
    for name, story in told:
        try:
            story()
        except Exception as flaw:  # a story that breaks in any way has not held
            flawed += 1
            print(f"{name}: {type(flaw).__name__}: {flaw}")
    for module in (choice, frames, caches, changelog, clients, limits):
        flawed += doctest.testmod(module).failed
    print(f"{len(told) - flawed} passed, {flawed} failed")
    sys.exit(flawed > 0)
