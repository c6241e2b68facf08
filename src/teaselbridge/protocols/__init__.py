"""Adapters to the HTTP protocols that the simulated services offer."""
