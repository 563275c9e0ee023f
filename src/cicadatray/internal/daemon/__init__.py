"""The daemon `cicadatrayd`."""
