"""Limits that many fronts keep together without talking: each takes its share of what the settings allow the
whole fleet.

`connections` is the pace of new connections at one member; what it allows reaches the decision module as room
(`contract.Room`), and the module alone sheds, forwards and steps on. Free of I/O; the hosts are the front's
own.
"""
