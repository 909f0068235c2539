"""A fleet whose processes are hollow: many of them share one process and run the real control code."""
