"""Evacuation of availability zones that operators order."""
