"""Shares of workspaces in limited capacity, held by all nodes together."""
