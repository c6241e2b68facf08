"""Clients for backend servers."""
