"""Adapter of the users' platform: its names, formats and calls.

Nothing here decides. Names on the wire are decoded once, into the types of
the rest of the program, and no other package knows them.
"""
