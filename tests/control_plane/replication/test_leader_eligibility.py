"""A controller may not lead with a slow disk, nor after an operator declined leadership, while others can lead."""

from ochrespan.control_plane.replication.leader_eligibility import MAX_LEADERLESS_S, LeaderEligibility


def test_a_slow_disk_and_an_operators_request_each_withhold_votes():
    eligibility = LeaderEligibility()
    assert not eligibility.check_votes_withheld(0.0, is_disk_slow=False, has_leaders=True)
    assert eligibility.check_votes_withheld(1.0, is_disk_slow=True, has_leaders=True)
    eligibility.decline(2.0, 10.0)
    assert eligibility.check_votes_withheld(3.0, is_disk_slow=False, has_leaders=True)
    assert eligibility.declines_for(3.0) == 9.0
    assert not eligibility.check_votes_withheld(12.0, is_disk_slow=False, has_leaders=True)


def test_a_request_is_ended_by_another():
    eligibility = LeaderEligibility()
    eligibility.decline(0.0, 1000.0)
    eligibility.decline(5.0, 0.0)
    assert not eligibility.check_votes_withheld(5.0, is_disk_slow=False, has_leaders=True)


def test_a_request_ends_where_no_other_process_leads():
    eligibility = LeaderEligibility()
    eligibility.decline(0.0, 1000.0)
    assert eligibility.check_votes_withheld(1.0, is_disk_slow=False, has_leaders=False)
    assert eligibility.check_votes_withheld(2.0, is_disk_slow=False, has_leaders=True)  # an election in between
    assert eligibility.check_votes_withheld(3.0, is_disk_slow=False, has_leaders=False)
    assert eligibility.check_votes_withheld(3.0 + MAX_LEADERLESS_S, is_disk_slow=False, has_leaders=False)
    assert not eligibility.check_votes_withheld(3.1 + MAX_LEADERLESS_S, is_disk_slow=False, has_leaders=False)
    assert eligibility.declines_for(7.0) == 0.0
