"""Sets of numbers that are mostly consecutive."""

import bisect

__all__ = ["NumberRanges"]


class NumberRanges:
    """A set of numbers, kept as ranges.

    Parameters
    ----------
    ranges : iterable of tuple of int, optional
        First and last numbers of ranges, in ascending order and apart.

    Examples
    --------
    >>> numbers = NumberRanges([(0, 3)])
    >>> numbers.add(5)
    >>> numbers.add(4)
    >>> numbers.export(), 6 in numbers, len(numbers)
    ([(0, 5)], False, 6)
    """

    def __init__(self, ranges=()):
        self._ranges = [tuple(each) for each in ranges]

    def __contains__(self, number):
        index = self._find(number)
        return index >= 0 and number <= self._ranges[index][1]

    def __len__(self):
        return sum(last - first + 1 for first, last in self._ranges)

    def _find(self, number):
        """Return the index of the last range that starts at or before a number."""
        return bisect.bisect_right(self._ranges, number, key=lambda each: each[0]) - 1

    def add(self, number):
        """Add a number."""
        if number in self:
            return
        index = self._find(number) + 1
        first = last = number
        if index < len(self._ranges) and self._ranges[index][0] == number + 1:
            last = self._ranges.pop(index)[1]
        if index and self._ranges[index - 1][1] == number - 1:
            index -= 1
            first = self._ranges.pop(index)[0]
        self._ranges.insert(index, (first, last))

    def export(self):
        """Return the ranges."""
        return list(self._ranges)
