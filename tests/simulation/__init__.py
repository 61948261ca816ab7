"""Fakes of the controllers' environment, on a simulated clock.

They follow the protocol only and share no code with the controllers' logic. They can delay, lose, duplicate and hold
back messages, and partition the network. All random choices come from one seeded generator, so that each run of a
test is the same.
"""
