"""Operators' HTTP interface."""
