"""Tests, a module for each module of the package."""
