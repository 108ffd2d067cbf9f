"""The error of the watch stream."""


class WatchError(Exception):
    """A watch stream or an event in it cannot be used, or not all of it: what was found.

    Endpoints of the event that could be read have been applied.
    """
