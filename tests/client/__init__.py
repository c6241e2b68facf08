"""Tests of the client library."""
