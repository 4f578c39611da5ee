"""Network I/O on trio for gRPC, HTTP/1.1 and TLS, without application logic."""
