"""Adapters of the ports to published protocols, as the stand-ins speak."""
