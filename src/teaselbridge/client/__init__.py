"""Client library for callers."""
