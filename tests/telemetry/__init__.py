"""Tests of the telemetry modules."""
