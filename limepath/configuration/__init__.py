"""Settings: the platform's JSON (`platform`) and INI files of new parts (`ini` reads, `peers` says what may
stand there), read and checked here and nowhere else."""
