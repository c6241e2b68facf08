"""Load generation: seeded traces, runs and reports."""
