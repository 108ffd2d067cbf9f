"""Several processes of the real program, ways between them and to stand-ins, faults on these, and what came
of it.

A drill starts `process.Process`es (`limepath run ...`, each with files of its own). Every datagram between
two of them passes `links.DatagramLinks`, a connection `links.ConnectionLinks`; `faults.Faults`, free of I/O, decides
what becomes of each piece (passes, is lost, late, doubled, held until others have gone on) and counts where a
fault took effect: a drill whose fault never did has shown nothing and fails. Stand-ins (caches, the list
service) are in `stand_ins`. Read `faults` first. One drill file a subsystem; on loopback only.
"""
