"""Even load on backend servers from information that is out of date."""
