"""The simulator's wire: frames, the dialect's names and codes, and a host for many fronts in one process."""
