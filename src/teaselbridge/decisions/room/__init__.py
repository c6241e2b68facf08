"""What is known about the pace, speed and memory of backend servers."""
