from wagtailstair.core.rendezvous import owner
from wagtailstair.core.rendezvous import ranked

HOSTS = [f"host-{number}" for number in range(20)]
KEYS = [f"key-{number}" for number in range(2000)]


class TestOwner:
    def test_does_not_depend_on_order(self):
        assert owner("draft/a", HOSTS) == owner("draft/a", reversed(HOSTS))

    def test_no_owner_without_hosts(self):
        assert owner("draft/a", []) is None

    def test_owner_is_first_in_the_ranking(self):
        assert all(ranked(key, HOSTS)[0] == owner(key, HOSTS) for key in KEYS[:50])

    def test_moves_only_the_keys_of_a_lost_host(self):
        rest = HOSTS[1:]
        for key in KEYS:
            before = owner(key, HOSTS)
            if before != HOSTS[0]:
                assert owner(key, rest) == before
                continue
            assert owner(key, rest) == ranked(key, HOSTS)[1]

    def test_spreads_keys(self):
        counts = dict.fromkeys(HOSTS, 0)
        for key in KEYS:
            counts[owner(key, HOSTS)] += 1
        assert min(counts.values()) > 60
        assert max(counts.values()) < 145
