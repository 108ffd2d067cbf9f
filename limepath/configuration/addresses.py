"""Addresses as the platform's JSON and the endpoint list write them."""

MAX_PORT = 65_535


def address_of(text: str) -> tuple[str, int]:
    """Return (host, port) of "host:port".

    Raises:
        ValueError: there is no host, or no port from 1 to 65535.
    """
    host, colon, port = text.rpartition(":")
    if not (host and colon and port.isdigit() and 0 < int(port) <= MAX_PORT):
        raise ValueError(f"address {text!r}")
    return host, int(port)
