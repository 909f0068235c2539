"""HTTP/2 over cleartext TCP with prior knowledge (RFC 9113). Disabled unless the operator configuration has [http2]."""
