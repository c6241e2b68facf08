"""Feeds events to the reducer and executes the effects it returns."""
