"""Addresses as the platform's JSON and the list of members word them."""


def address_of(text):
    """(host, port) of "host:port"."""
    host, colon, port = text.rpartition(":")
    if not (host and colon and port.isdigit() and 0 < int(port) < 65536):
        raise ValueError(f"address {text!r}")
    return host, int(port)
