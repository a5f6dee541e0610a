"""Settings of a process, and configuration records folded from the platform's log."""
