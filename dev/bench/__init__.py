"""Benchmark of jujubecartd with a load generator, a relay and fakes of backend
servers, platform and store."""
