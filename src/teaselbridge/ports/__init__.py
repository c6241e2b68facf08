"""Ports: what the rest may ask of the systems around a node."""
