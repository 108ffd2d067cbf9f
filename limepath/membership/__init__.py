"""Instances that know each other: who is alive, suspected, dead or left, by checks that carry the news.

The way of a note: a datagram is opened by `guard` (authentic? new?), its message goes to `members` and from
there to the part that takes it (`checks`, `joining`, `anti_entropy`), whose orders (send, tell the view, give
way) `host` carries out. What is known is the `view`; news leaves it by `gossip`. Read `interface` first. Only
`host` and `control` touch sockets.
"""
