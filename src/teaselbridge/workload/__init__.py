"""Load and experiments: seeded traces, runs and reports."""
