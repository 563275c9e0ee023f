"""Rules of placement that a deployment can choose, in registries that decorators fill."""
