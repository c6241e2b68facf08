"""Tests of the operators' tables."""
