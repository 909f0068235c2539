"""When a controller leads nothing: by its disk, and by an operator's wish as long as others lead."""

from ochrespan.control_plane.replication.leader_eligibility import MAX_LEADERLESS_S, LeaderEligibility


def test_a_disk_in_trouble_and_an_operators_wish_each_are_enough():
    willingness = LeaderEligibility()
    assert not willingness.withholds_votes(0.0, disk_in_trouble=False, has_leaders=True)
    assert willingness.withholds_votes(1.0, disk_in_trouble=True, has_leaders=True)
    willingness.decline(2.0, 10.0)
    assert willingness.withholds_votes(3.0, disk_in_trouble=False, has_leaders=True)
    assert willingness.declines_for(3.0) == 9.0
    assert not willingness.withholds_votes(12.0, disk_in_trouble=False, has_leaders=True)


def test_a_wish_is_ended_by_another():
    willingness = LeaderEligibility()
    willingness.decline(0.0, 1000.0)
    willingness.decline(5.0, 0.0)
    assert not willingness.withholds_votes(5.0, disk_in_trouble=False, has_leaders=True)


def test_the_wish_gives_way_where_nobody_else_leads():
    willingness = LeaderEligibility()
    willingness.decline(0.0, 1000.0)
    assert willingness.withholds_votes(1.0, disk_in_trouble=False, has_leaders=False)
    assert willingness.withholds_votes(2.0, disk_in_trouble=False, has_leaders=True)  # an election in between
    assert willingness.withholds_votes(3.0, disk_in_trouble=False, has_leaders=False)
    assert willingness.withholds_votes(3.0 + MAX_LEADERLESS_S, disk_in_trouble=False, has_leaders=False)
    assert not willingness.withholds_votes(3.1 + MAX_LEADERLESS_S, disk_in_trouble=False, has_leaders=False)
    assert willingness.declines_for(7.0) == 0.0
