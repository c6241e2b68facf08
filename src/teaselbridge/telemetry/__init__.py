"""Metrics, logs and the time line."""
