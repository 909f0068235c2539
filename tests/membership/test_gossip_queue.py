"""The queue of updates to disseminate: order, limit of transmissions, and resets of the count."""

from ochrespan.membership.gossip_queue import GossipQueue

FIRST, SECOND, THIRD = (("10.0.0.1", 7500), ("10.0.0.2", 7500), ("10.0.0.3", 7500))


def queue_of(*addresses) -> GossipQueue:
    queue = GossipQueue()
    for address in addresses:
        queue.push(address)
    return queue


def test_the_least_transmitted_updates_are_taken_first():
    queue = queue_of(FIRST, SECOND, THIRD)
    assert queue.take(2, known_members=10) == [FIRST, SECOND]
    assert queue.take(2, known_members=10) == [THIRD, FIRST]


def test_an_update_is_dropped_after_three_times_the_logarithm_of_the_fleets_size():
    for known_members, transmissions in [(0, 3), (2, 6), (6, 9), (30, 15)]:
        queue = queue_of(FIRST)
        taken = [queue.take(1, known_members) for _ in range(transmissions + 2)]
        assert taken == [[FIRST]] * transmissions + [[], []]


def test_a_newer_update_about_a_member_counts_from_zero():
    queue = queue_of(FIRST, SECOND)
    assert queue.take(2, known_members=10) == [FIRST, SECOND]
    queue.push(SECOND)
    assert queue.take(1, known_members=10) == [SECOND]


def test_a_discarded_update_is_not_transmitted():
    queue = queue_of(FIRST, SECOND)
    queue.discard(FIRST)
    queue.discard(THIRD)
    assert queue.take(3, known_members=10) == [SECOND]
