"""Stand-ins: test doubles of the platform, its workers and runners, as processes."""
