"""A randomized fault test: real processes of this program on loopback, with the fakes of everything else."""
