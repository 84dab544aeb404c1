"""The adapter to the platform: translates its names and formats, without any I/O."""
