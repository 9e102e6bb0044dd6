"""Several real hosts in one event loop, between in-memory fakes, on a virtual clock."""
