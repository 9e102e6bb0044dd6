"""Starts one host with little CPU time: ``python -m cranberryrun.platform.launcher``.

Imports create many objects and almost no garbage, so searching for garbage meanwhile
costs about a tenth of a start. Small hosts, and all hosts that start at once after an
outage, serve sooner without it.
"""

import gc


def main() -> None:
    """Run one host; see :func:`cranberryrun.platform.__main__.main`."""
    gc.disable()
    from .__main__ import main as run_host

    # What was imported lives as long as the process, so no collection looks at it.
    gc.freeze()
    gc.enable()
    run_host()


if __name__ == "__main__":
    main()
