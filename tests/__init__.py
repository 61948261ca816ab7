"""Tests of stileloft, and the simulated surroundings that they run it in."""
