"""Interfaces to the external systems that a node uses."""
