"""Parses the addresses in the platform's JSON file and in the endpoint list."""

MAX_PORT = 65_535


def parse_host_port(text: str) -> tuple[str, int]:
    """Return the host and port of an address of the form "host:port".

    Raises:
        ValueError: the host is missing, or the port is not a number from 1 to 65535.
    """
    host, colon, port = text.rpartition(":")
    if not (host and colon and port.isdigit() and 0 < int(port) <= MAX_PORT):
        raise ValueError(f"address {text!r}: expected host:port with a port from 1 to {MAX_PORT}")
    return host, int(port)
