"""A short run of the membership's model checker; the module's command runs a longer search."""

from dunlinlug.fleet.membership.model import MembershipModel
from dunlinlug.fleet.model_checking.engine import explore_depth_first, explore_recovery_randomly


def test_three_members_agree_after_losses_copies_a_kill_a_restart_and_a_partition() -> None:
    explored = explore_depth_first(MembershipModel(), 2)
    assert not explored.violation
    assert explored.paths > 50
    walked = explore_recovery_randomly(MembershipModel(), 30, seed=5)
    kinds = ("lose", "double", "kill", "restart", "cut", "heal")
    assert not walked.violation
    assert min(walked.step_counts[kind] for kind in kinds) > 20
