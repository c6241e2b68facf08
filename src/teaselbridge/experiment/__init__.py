"""Discrete-event experiments that compare policies.

The reducer of the nodes runs in virtual time against simulated backend
servers, a simulated key-value store and simulated callers.
"""
