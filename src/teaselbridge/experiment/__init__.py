"""Experiments: the decisions in virtual time against a model."""
