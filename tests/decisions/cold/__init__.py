"""Test cold backend servers."""
