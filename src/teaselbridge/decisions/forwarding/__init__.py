"""Forwarding of requests to nodes that reach the backend servers."""
