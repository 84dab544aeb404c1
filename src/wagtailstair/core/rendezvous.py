"""Rendezvous hashing: every host computes the same owner of a key."""

import hashlib
import typing as t

WEIGHT_BYTES = 8


def _weight(key: str, host: str) -> bytes:
    text = f"{key}\0{host}".encode()
    return hashlib.blake2b(text, digest_size=WEIGHT_BYTES).digest()


def owner(key: str, hosts: t.Iterable[str]) -> str | None:
    """Return the host with the highest weight for a key, ``None`` without hosts."""
    return max(hosts, key=lambda host: (_weight(key, host), host), default=None)


def ranked(key: str, hosts: t.Iterable[str]) -> list[str]:
    """Return the hosts by descending weight for a key: the owner, its successor, ..."""
    return sorted(hosts, key=lambda host: (_weight(key, host), host), reverse=True)
