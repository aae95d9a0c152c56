"""The command line, a module per group of commands."""
