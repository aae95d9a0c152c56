"""Help for tests, demonstrations and measurements: sites of real processes."""
