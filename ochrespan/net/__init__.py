"""Network I/O: the HTTP/1.1 server, the chunk-server client and the discovery watch. Makes no scheduling decisions."""
