"""Counts of the requests that targets ran for each workspace."""
