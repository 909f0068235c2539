"""Messages over TCP, UDP and TLS."""
