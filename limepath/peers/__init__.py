"""Instances that know each other: who is alive, suspected, dead or left, by checks that carry the news.

The way of a note: a datagram is opened by `guard` (authentic? new?), its message goes to `members`, whose
orders (send, tell the view, give way) `host` carries out. Read `interface` first. Only `host` and `control`
touch sockets.
"""
