"""Randomized soak test: runs host processes under faults and checks guarantees."""
