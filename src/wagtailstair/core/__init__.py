"""Decision logic without I/O: time and events are passed in as arguments."""
