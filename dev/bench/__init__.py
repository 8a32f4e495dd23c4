"""Benchmark of jujubecartd with fake callers, backend servers, platform and store."""
