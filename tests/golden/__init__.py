"""Files that earlier versions of the program have written, and what has to be read from them."""
