"""Stateful fuzzing of several nodes against an oracle."""
