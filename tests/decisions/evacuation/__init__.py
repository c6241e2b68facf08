"""Test the evacuation of availability zones."""
