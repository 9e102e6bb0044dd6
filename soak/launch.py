"""Runs one host; its wall clock is off by what ``CLOCK_STEP_SECONDS`` says."""

import os
from datetime import datetime, timezone

from cranberryrun import clock
from cranberryrun.platform.__main__ import main

STEP_VARIABLE = "CLOCK_STEP_SECONDS"

if __name__ == "__main__":
    step = float(os.environ.get(STEP_VARIABLE, "0"))
    clock.wall = lambda: datetime.now(timezone.utc).timestamp() + step
    main()
