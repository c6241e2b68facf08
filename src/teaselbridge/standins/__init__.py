"""Simulated services: deployment platform, cloud and backend servers.

Tests and the demo run them in place of the real ones.
"""
