"""Tests of the limits that backend servers set."""
