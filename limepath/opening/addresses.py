"""Addresses as the platform's JSON and the list of members word them."""


def address_of(text):
    """
    >>> address_of("127.1.0.9:8080")
    ('127.1.0.9', 8080)
    """
    host, colon, port = text.rpartition(":")
    if not (host and colon and port.isdigit() and 0 < int(port) < 65536):
        raise ValueError(f"address {text!r}")
    return host, int(port)
