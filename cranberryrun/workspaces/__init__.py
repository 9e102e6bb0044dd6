"""Workspaces, their keys and who may use what."""
