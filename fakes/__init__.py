"""In-memory fakes that run several real hosts in one event loop, on a virtual clock."""
