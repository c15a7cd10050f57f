"""Small processes that stand in for the platform, its workers and runners."""
