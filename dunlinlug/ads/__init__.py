"""The xDS manager: proxies' streams over gRPC, what each proxy holds and is sent, the process."""
