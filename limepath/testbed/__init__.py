"""Drills: several processes of the real program with faulty network links between them.

A drill starts `process.Process`es (`limepath run ...`, each with its own files) on loopback. Every datagram
between two of them passes `links.DatagramLinks`, and every connection passes `links.ConnectionLinks`.
`faults.Faults`, which does no I/O, decides what happens to the data: it passes, or is lost, delayed,
duplicated or held. It also counts how often each fault took effect, because a drill with a fault that never
took effect has tested nothing and fails. `stand_ins` has caches and services to connect to; `duties` and
`coldstart` are the drills of one subsystem each.
"""
