"""The scheduling library under seeded workloads, on a virtual clock with a small fake fleet."""
