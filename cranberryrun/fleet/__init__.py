"""What a host knows of the deployment: manifest, targets, versions, its own lease."""
