"""Callers' HTTP interface."""
