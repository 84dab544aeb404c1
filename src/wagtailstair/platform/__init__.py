"""The adapter to the platform: its names and shapes, translated and nothing else."""
