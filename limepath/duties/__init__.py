"""Duties that must be done once per interval, not once per instance: divided, taken over, their results
shared.

The way of a note: `instance` joins membership and duties of one instance in one `handle`; `ring` says whose a
target is, `leases` who holds it where at most one may, `rounds` when it is due, `learnt` what all know.
`host` carries the orders out beside a front. Read `interface` first.
"""
