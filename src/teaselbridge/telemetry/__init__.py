"""Metrics, logs and the timeline."""
