"""Tests of requests that are forwarded to other nodes."""
