"""Import of the documents of operators: asset registers, rules and accounts."""
