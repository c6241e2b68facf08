"""Tests of the adapter of the deployment platform."""
