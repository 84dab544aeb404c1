"""A demonstration of the whole product on loopback."""
