import pytest

from tests.gateway_data import make_engine
from wagtailstair.core.replicas import ReplicaSet

LAPSE_S = 2.0
NEVER = float("-inf")


def names(replicas):
    return sorted(replica.name for replica in replicas.usable("draft"))


class TestRows:
    def test_a_leaving_upstream_is_not_usable(self):
        replicas = ReplicaSet(LAPSE_S)
        replicas.put(make_engine("x"))
        assert names(replicas) == ["x"]
        replicas.put(make_engine("x", is_leaving=True))
        assert names(replicas) == []

    def test_a_row_of_an_older_incarnation_is_ignored(self):
        replicas = ReplicaSet(LAPSE_S)
        replicas.put(make_engine("x", incarnation=2))
        assert not replicas.put(make_engine("x", incarnation=1, layers=(0, 4)))
        assert replicas.by_name["x"].incarnation == 2

    def test_an_unchanged_row_changes_nothing(self):
        replicas = ReplicaSet(LAPSE_S)
        replicas.put(make_engine("x"))
        before = replicas.generation
        assert not replicas.put(make_engine("x"))
        assert replicas.generation == before


class TestLapse:
    def test_removal_is_immediate_without_store_failures(self):
        replicas = ReplicaSet(LAPSE_S)
        replicas.put(make_engine("x"))
        replicas.remove("x", 0.0, NEVER)
        assert names(replicas) == []

    def test_removal_is_delayed_after_a_store_failure(self):
        replicas = ReplicaSet(LAPSE_S)
        replicas.put(make_engine("x"))
        replicas.remove("x", 0.0, failed_at=0.0)
        assert replicas.drop_lapsed(1.9, is_store_unreachable=False) == []
        assert names(replicas) == ["x"]
        assert replicas.drop_lapsed(2.0, is_store_unreachable=False) == ["x"]
        assert names(replicas) == []

    def test_a_row_that_comes_back_cancels_the_removal(self):
        replicas = ReplicaSet(LAPSE_S)
        replicas.put(make_engine("x"))
        replicas.remove("x", 0.0, failed_at=0.0)
        replicas.put(make_engine("x"))
        assert replicas.drop_lapsed(9.0, is_store_unreachable=False) == []
        assert names(replicas) == ["x"]

    def test_the_delay_starts_when_the_store_is_reachable_again(self):
        replicas = ReplicaSet(LAPSE_S)
        replicas.put(make_engine("x"))
        replicas.remove("x", 0.0, failed_at=0.0)
        replicas.drop_lapsed(5.0, is_store_unreachable=True)
        assert replicas.drop_lapsed(6.9, is_store_unreachable=False) == []
        assert replicas.drop_lapsed(7.0, is_store_unreachable=False) == ["x"]

    def test_the_delay_is_counted_from_the_last_failure(self):
        replicas = ReplicaSet(LAPSE_S)
        replicas.put(make_engine("x"))
        replicas.remove("x", 1.1, failed_at=0.0)
        assert replicas.drop_lapsed(1.9, is_store_unreachable=False) == []
        assert replicas.drop_lapsed(2.0, is_store_unreachable=False) == ["x"]

    def test_a_removal_long_after_a_failure_is_immediate(self):
        replicas = ReplicaSet(LAPSE_S)
        replicas.put(make_engine("x"))
        replicas.remove("x", 2.5, failed_at=0.0)
        assert names(replicas) == []


class TestHeldBack:
    """Rows of an older copy of the store that say less than is known."""

    def test_a_row_that_denies_a_leaving_is_at_odds(self):
        replicas = ReplicaSet(LAPSE_S)
        replicas.put(make_engine("x", is_leaving=True))
        assert replicas.contradicts(make_engine("x"))
        assert not replicas.contradicts(make_engine("x", incarnation=9))

    def test_a_row_with_other_layers_is_at_odds(self):
        replicas = ReplicaSet(LAPSE_S)
        replicas.put(make_engine("x", layers=(0, 4)))
        assert replicas.contradicts(make_engine("x", layers=(0, 8)))
        assert not replicas.contradicts(make_engine("x", layers=(0, 4)))
        # That an upstream leaves is believed at once.
        assert not replicas.contradicts(make_engine("x", is_leaving=True))

    def test_a_row_of_a_removed_upstream_is_at_odds(self):
        replicas = ReplicaSet(LAPSE_S)
        assert not replicas.contradicts(make_engine("x"))
        replicas.put(make_engine("x"))
        replicas.remove("x", 0.0, NEVER)
        assert replicas.contradicts(make_engine("x"))
        newer = make_engine("x").incarnation + 1
        assert not replicas.contradicts(make_engine("x", incarnation=newer))

    def test_a_held_back_row_is_applied_when_it_is_due(self):
        replicas = ReplicaSet(LAPSE_S)
        replicas.hold_back(make_engine("x"), 3.0)
        assert replicas.apply_held_back(2.9) == []
        assert names(replicas) == []
        assert replicas.apply_held_back(3.0) == [make_engine("x")]
        assert replicas.apply_held_back(9.0) == []
        assert names(replicas) == ["x"]

    @pytest.mark.parametrize("is_removed", [True, False])
    def test_a_later_row_replaces_a_held_back_one(self, is_removed):
        replicas = ReplicaSet(LAPSE_S)
        replicas.put(make_engine("x", is_leaving=True))
        replicas.hold_back(make_engine("x"), 3.0)
        if is_removed:
            replicas.remove("x", 1.0, NEVER)
        else:
            replicas.put(make_engine("x", is_leaving=True))
        assert replicas.apply_held_back(3.0) == []
        assert names(replicas) == []
