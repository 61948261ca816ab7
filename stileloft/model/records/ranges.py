"""Conversion between sets of task or chunk numbers and ranges, their stored form."""

Ranges = list[list[int]]
"""Sorted, half-open ranges: pairs of the first number and the number after the last."""


def to_ranges(numbers: set[int]) -> Ranges:
    """Returns the fewest ranges that cover exactly these numbers."""
    ranges: Ranges = []
    for number in sorted(numbers):
        if ranges and ranges[-1][1] == number:
            ranges[-1][1] = number + 1
        else:
            ranges.append([number, number + 1])
    return ranges


def from_ranges(ranges: Ranges) -> set[int]:
    """Returns all numbers in the ranges."""
    return {number for low, high in ranges for number in range(low, high)}
