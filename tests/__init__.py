"""Tests of stileloft, and the fakes of its environment."""
