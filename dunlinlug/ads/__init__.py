"""The xDS manager: gRPC streams of proxies, the resources sent to each proxy, and the process."""
