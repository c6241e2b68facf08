"""Serving system for deadline-bound work on reclaimable hosts."""
