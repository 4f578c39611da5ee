"""The adapter: hosts decision modules on the wire of standard input and output."""
