"""Tests of the shares of workspaces in limited capacity."""
