"""Deterministic subsetting: the servers that each of many nodes calls."""

from __future__ import annotations

from collections.abc import Sequence


def deal(marks: Sequence[int], hands: int) -> list[int]:
    """The hand that each card is dealt to, by random marks of 48 bits: all hands are alike in size.

    In the order of marks each card goes to the first hand with room, in an order of hands of its own
    (double hashing; hands: a power of two).  One card more or less moves few others, as most hands that a
    card passes over are full either way; cutting the sorted cards into equal runs would move a third of as
    many cards as there are hands.
    """
    least, sizes, dealt = len(marks) // hands, [0] * hands, [0] * len(marks)
    for place, i in enumerate(sorted(range(len(marks)), key=marks.__getitem__)):
        room = least if place < least * hands else least + 1
        hand, step = marks[i] % hands, (marks[i] >> 16) | 1
        while sizes[hand] >= room:
            hand = (hand + step) % hands
        sizes[hand] += 1
        dealt[i] = hand
    return dealt
