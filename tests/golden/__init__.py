"""Golden tests: what the programs print and write, held word for word through a change of their inner structure."""
