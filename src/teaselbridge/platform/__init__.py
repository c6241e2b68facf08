"""Ports and adapters of the platform's services."""
