"""Tests of the entries of the endpoint list."""

from limepath.front.endpoint_entry import endpoint_ident


def test_an_endpoint_has_the_same_ident_at_every_front():
    assert endpoint_ident("s-00c41f7a") == endpoint_ident("s-00c41f7a") != endpoint_ident("s-00c41f7b")
