"""Benchmark of jujubecartd against a load generator, fakes and a relay."""
