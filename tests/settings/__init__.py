"""Tests of the settings file."""
