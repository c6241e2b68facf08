"""Serving system for requests with deadlines on reclaimable hosts."""
