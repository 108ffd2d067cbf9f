"""The simulator's wire protocol: frames, records, and a host that runs many fronts in one process."""
