"""Tests of Teaselbridge."""
