"""Tests of failures, with nodes in one process over loopback sockets."""
