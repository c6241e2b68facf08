"""Feeds events to the reducer and performs its effects."""
