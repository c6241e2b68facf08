"""Decision logic: one reducer over all events, without I/O."""
