"""A host's view of the deployment: manifest, targets, weight versions and the lease."""
