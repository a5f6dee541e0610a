"""The command line of the one binary."""
