"""Fakes of everything outside the controllers, on a simulated clock.

Written from the protocol alone. They can delay, lose, repeat, hold back and cut, all from one
seeded source of randomness, so that every run of a test is the same.
"""
