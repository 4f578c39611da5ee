"""Runs the adapter of `simulator` under the module name that the deployment requires."""
