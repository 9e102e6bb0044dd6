"""Small programs that take the place of the platform, targets and callers."""
