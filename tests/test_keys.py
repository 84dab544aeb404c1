import random

import pytest

from wagtailstair.core import keys
from wagtailstair.core.lists import Account
from wagtailstair.core.lists import Lists

RANDOM = random.Random(1)
FIRST = keys.new_key(RANDOM.randbytes)
SECOND = keys.new_key(RANDOM.randbytes)
LISTS = Lists(
    1,
    account_by_name={
        "shop": Account("shop", "maker", (FIRST.key, SECOND.key)),
        "bare": Account("bare", "maker"),
    },
)


class TestVerify:
    @pytest.mark.parametrize("new", [FIRST, SECOND])
    def test_every_key_of_an_account_is_valid(self, new):
        account = keys.verify(LISTS, f"shop.{new.secret}")
        assert account is LISTS.account_by_name["shop"]

    @pytest.mark.parametrize(
        "bearer",
        [
            "",
            "shop",
            "shop.",
            "bare.",
            "shop.wrong",
            f"bare.{FIRST.secret}",
            f"other.{FIRST.secret}",
            f"shop.{FIRST.secret}.",
            "shop.\ud800",
        ],
    )
    def test_any_other_bearer_is_rejected(self, bearer):
        assert keys.verify(LISTS, bearer) is None

    def test_an_unset_digest_matches_no_secret(self, monkeypatch):
        monkeypatch.setattr(keys, "hash_secret", lambda secret, salt: bytes(32))
        assert keys.verify(LISTS, "bare.any") is None

    @pytest.mark.parametrize("account", ["shop", "bare", "other"])
    def test_every_check_computes_the_same_number_of_hashes(self, monkeypatch, account):
        salts = []

        def count(secret, salt):
            salts.append(salt)
            return bytes(32)

        monkeypatch.setattr(keys, "hash_secret", count)
        keys.verify(LISTS, f"{account}.secret")
        assert len(salts) == 4
