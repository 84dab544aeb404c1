from tests.gateway_data import make_engine
from wagtailstair.core.replicas import ReplicaSet

LAPSE_S = 2.0
NEVER = float("-inf")


def names(replicas):
    return sorted(replica.name for replica in replicas.usable("draft"))


class TestRows:
    def test_a_leaving_upstream_gets_nothing(self):
        replicas = ReplicaSet(LAPSE_S)
        replicas.put(make_engine("x"))
        assert names(replicas) == ["x"]
        replicas.put(make_engine("x", is_leaving=True))
        assert names(replicas) == []

    def test_an_older_start_is_passed_over(self):
        replicas = ReplicaSet(LAPSE_S)
        replicas.put(make_engine("x", incarnation=2))
        assert not replicas.put(make_engine("x", incarnation=1, layers=(0, 4)))
        assert replicas.by_name["x"].incarnation == 2

    def test_the_same_row_changes_nothing(self):
        replicas = ReplicaSet(LAPSE_S)
        replicas.put(make_engine("x"))
        before = replicas.generation
        assert not replicas.put(make_engine("x"))
        assert replicas.generation == before


class TestLapse:
    def test_removal_counts_at_once_while_the_store_is_well(self):
        replicas = ReplicaSet(LAPSE_S)
        replicas.put(make_engine("x"))
        replicas.remove("x", 0.0, NEVER)
        assert names(replicas) == []

    def test_removal_waits_after_trouble(self):
        replicas = ReplicaSet(LAPSE_S)
        replicas.put(make_engine("x"))
        replicas.remove("x", 0.0, failed_at=0.0)
        assert replicas.drop_lapsed(1.9, is_store_unreachable=False) == []
        assert names(replicas) == ["x"]
        assert replicas.drop_lapsed(2.0, is_store_unreachable=False) == ["x"]
        assert names(replicas) == []

    def test_a_row_that_is_back_stays(self):
        replicas = ReplicaSet(LAPSE_S)
        replicas.put(make_engine("x"))
        replicas.remove("x", 0.0, failed_at=0.0)
        replicas.put(make_engine("x"))
        assert replicas.drop_lapsed(9.0, is_store_unreachable=False) == []
        assert names(replicas) == ["x"]

    def test_the_wait_begins_with_the_stores_return(self):
        replicas = ReplicaSet(LAPSE_S)
        replicas.put(make_engine("x"))
        replicas.remove("x", 0.0, failed_at=0.0)
        replicas.drop_lapsed(5.0, is_store_unreachable=True)
        assert replicas.drop_lapsed(6.9, is_store_unreachable=False) == []
        assert replicas.drop_lapsed(7.0, is_store_unreachable=False) == ["x"]

    def test_the_wait_is_counted_from_the_last_failure(self):
        replicas = ReplicaSet(LAPSE_S)
        replicas.put(make_engine("x"))
        replicas.remove("x", 1.1, failed_at=0.0)
        assert replicas.drop_lapsed(1.9, is_store_unreachable=False) == []
        assert replicas.drop_lapsed(2.0, is_store_unreachable=False) == ["x"]

    def test_a_removal_long_after_a_failure_counts_at_once(self):
        replicas = ReplicaSet(LAPSE_S)
        replicas.put(make_engine("x"))
        replicas.remove("x", 2.5, failed_at=0.0)
        assert names(replicas) == []
