"""Runs one host; the variable ``CLOCK_STEP_SECONDS`` offsets its wall clock."""

import os
from datetime import datetime, timezone

from cranberryrun import clock
from cranberryrun.platform.__main__ import main

CLOCK_STEP_VARIABLE = "CLOCK_STEP_SECONDS"

if __name__ == "__main__":
    clock_step_seconds = float(os.environ.get(CLOCK_STEP_VARIABLE, "0"))
    clock.wall = lambda: datetime.now(timezone.utc).timestamp() + clock_step_seconds
    main()
