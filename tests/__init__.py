"""Tests; each module of the package has a test module of the same name."""
