"""Stand-ins, processes and a record for the scripts of the second review."""
