"""Bearer keys, of which only salted hashes are stored."""

import collections.abc
import dataclasses
import hashlib
import hmac

from .lists import Lists
from .plans import DIGEST_BYTES
from .plans import MAX_KEYS
from .plans import SALT_BYTES
from .plans import Account
from .plans import Key

SECRET_BYTES = 32
SEPARATOR = "."

# Compared if an account is unknown or has fewer keys than the limit, so that the
# duration of a check reveals neither.
_NO_KEY = Key(bytes(SALT_BYTES), bytes(DIGEST_BYTES))


@dataclasses.dataclass(slots=True, frozen=True)
class NewKey:
    """A newly created key, with its secret, which is shown only once."""

    secret: str
    key: Key


def hash_secret(secret: str, salt: bytes) -> bytes:
    """Return the salted hash of a secret."""
    data = secret.encode("utf-8", "surrogatepass")
    return hashlib.blake2b(data, salt=salt, digest_size=DIGEST_BYTES).digest()


def new_key(random_bytes: collections.abc.Callable[[int], bytes]) -> NewKey:
    """Create a key.

    :param random_bytes: a source of secure random bytes such as `os.urandom`.
    """
    secret = random_bytes(SECRET_BYTES).hex()
    salt = random_bytes(SALT_BYTES)
    return NewKey(secret, Key(salt, hash_secret(secret, salt)))


def verify(lists: Lists, bearer: str) -> Account | None:
    """Return the account of a bearer key ``ACCOUNT.SECRET``, if it is valid.

    The duration does not depend on the account or on the secret.
    """
    name, _, secret = bearer.partition(SEPARATOR)
    account = lists.account_by_name.get(name)
    keys = () if account is None else account.keys
    matched = False
    for index in range(MAX_KEYS):
        key = keys[index] if index < len(keys) else _NO_KEY
        equal = hmac.compare_digest(hash_secret(secret, key.salt), key.digest)
        matched |= equal and key is not _NO_KEY
    return account if matched else None
