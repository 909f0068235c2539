"""Golden tests: what the programs write, store and print, held to the byte while their inner structure changes."""
