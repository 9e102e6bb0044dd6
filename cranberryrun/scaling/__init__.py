"""Orders for engines: what is wanted, and the policy behind it."""
