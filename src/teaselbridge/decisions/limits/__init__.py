"""Limits that a backend server sets for the requests of all nodes."""
