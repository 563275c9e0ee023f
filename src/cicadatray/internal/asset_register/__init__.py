"""Import of the documents that operators bring: asset registers, rules and accounts."""
