"""Tests of the load generator and its reports."""
