"""The exception raised for errors of the watch stream."""


class WatchError(Exception):
    """Raised if a watch stream, an event or a part of an event is malformed; says what was found.

    The well-formed entries of the event have been applied.
    """
