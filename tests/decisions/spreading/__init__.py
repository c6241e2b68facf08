"""Tests of the choice of a server by information that is out of date."""
