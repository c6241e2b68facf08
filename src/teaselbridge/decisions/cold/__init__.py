"""Backend servers that are slow for some time after their start."""
