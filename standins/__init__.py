"""Small stand-ins for the outside systems, for the demo and the tests."""
