"""The catalogue of numbered events. A number is never reused for another event."""

from __future__ import annotations

from dataclasses import dataclass

INFO = "info"
WARNING = "warning"
ERROR = "error"


@dataclass(frozen=True, slots=True)
class EventKind:
    """One entry of the catalogue."""

    number: int
    name: str
    level: str
    meaning: str


def _kinds(*rows: tuple[int, str, str, str]) -> dict[str, EventKind]:
    return {
        name: EventKind(number, name, level, text) for number, name, level, text in rows
    }


EVENT_BY_NAME: dict[str, EventKind] = _kinds(
    (100, "host_started", INFO, "The host serves its API."),
    (101, "host_ready", INFO, "The host has a configuration and accepts work."),
    (
        102,
        "host_draining",
        INFO,
        "A graceful stop started; the host soon takes no new work.",
    ),
    (103, "host_stopped", INFO, "The host stopped."),
    (104, "drain_limit", WARNING, "The stop's time limit passed with work in flight."),
    (105, "host_paused", WARNING, "The process did not run for some time."),
    (
        110,
        "peer_unreachable",
        WARNING,
        "A peer did not answer; it owns no keys for now.",
    ),
    (111, "peer_returned", INFO, "A peer answers again."),
    (112, "host_list_lost", WARNING, "The platform's host list can't be read."),
    (113, "host_list_back", INFO, "The platform's host list can be read again."),
    (114, "target_leaving", INFO, "A target is leaving; it gets no new work."),
    (115, "target_registered", INFO, "A target registered; it can get work."),
    (116, "target_gone", INFO, "A target's registration ended; it gets no new work."),
    (
        117,
        "targets_lost",
        WARNING,
        "Calls of this host failed and it hears from no target at all.",
    ),
    (118, "targets_reached", INFO, "This host hears from targets again."),
    (120, "settings_read", INFO, "The settings file was read again."),
    (
        121,
        "settings_kept",
        WARNING,
        "The new settings file is invalid; the old settings apply.",
    ),
    (
        122,
        "unknown_name",
        INFO,
        "A header or field has a name that this host does not know; logged once.",
    ),
    (200, "log_lost", WARNING, "The log can't be read; peers relay its records."),
    (201, "log_back", INFO, "The log can be read again."),
    (202, "change_asked", INFO, "An operator requested a change."),
    (203, "change_applied", INFO, "A change took effect at this host."),
    (
        204,
        "change_rejected",
        INFO,
        "A change was rejected: it is invalid, or another one was applied first.",
    ),
    (205, "change_unknown", WARNING, "A change's outcome is not known yet."),
    (206, "snapshot_written", INFO, "A snapshot was appended to the log."),
    (207, "snapshot_loaded", INFO, "The configuration was loaded from a snapshot."),
    (208, "records_from_peer", INFO, "Records were read from a peer in a log outage."),
    (209, "record_invalid", ERROR, "A record of the log is malformed."),
    (210, "snapshot_differs", ERROR, "A snapshot differs from this host's state."),
    (211, "manifest_applied", INFO, "A manifest took effect at this host."),
    (212, "store_turned_away", WARNING, "The store does not serve this host."),
    (213, "store_serves_again", INFO, "The store serves this host again."),
    (
        220,
        "lease_taken",
        INFO,
        "This host took the lease: it runs batches and orders loads.",
    ),
    (
        221,
        "lease_given_up",
        INFO,
        "This host no longer holds the lease; another may run batches.",
    ),
    (
        222,
        "lease_unsure",
        WARNING,
        "The lease can't be renewed; this host sends no orders to engines.",
    ),
    (223, "lease_kept", WARNING, "The lease could not be released; it will expire."),
    (300, "step_started", INFO, "A trainer's step started or resumed at this host."),
    (301, "step_done", INFO, "All samples of the step were delivered."),
    (302, "step_moved", INFO, "The trainer was redirected to another host."),
    (
        303,
        "step_cut",
        INFO,
        "The trainer's connection closed before the step was done.",
    ),
    (304, "step_failed", WARNING, "The step can't continue at this host."),
    (305, "sample_dispatched", INFO, "A sample was requested from an engine."),
    (306, "sample_resumed", INFO, "A sample's stream was resumed."),
    (307, "sample_whole", INFO, "A sample is complete."),
    (
        308,
        "sample_stale",
        INFO,
        "A sample exceeded the staleness bound; it is generated again.",
    ),
    (309, "sample_lost", WARNING, "A sample's stream was lost; it is generated again."),
    (310, "sample_unstamped", ERROR, "A sample had a piece without a weight version."),
    (311, "group_handed", INFO, "A complete group was delivered to the trainer."),
    (312, "second_attempt", INFO, "A straggler is also generated on another engine."),
    (
        313,
        "hand_over_held",
        WARNING,
        "A complete group waits: the view is too old to judge freshness.",
    ),
    (314, "step_superseded", INFO, "Another host took over this step."),
    (315, "step_waiting", WARNING, "No engine can take the step's samples now."),
    (
        316,
        "sample_given_back",
        INFO,
        "A sample's stream was stopped because the pool needs its lent slot back.",
    ),
    (320, "batch_accepted", INFO, "A batch was accepted; the store has it."),
    (321, "batch_refused", WARNING, "A batch was refused; none of it was stored."),
    (322, "batch_unknown", WARNING, "It is unknown whether a batch was accepted."),
    (323, "batch_ended", INFO, "A trainer ended a batch."),
    (
        324,
        "batches_skipped",
        ERROR,
        "Records of batches expired before they were read.",
    ),
    (326, "batches_recalled", INFO, "The new lease holder loaded the open batches."),
    (327, "results_read", INFO, "A caller read results of a batch."),
    (330, "item_run", INFO, "A run of an item ended, with any outcome."),
    (331, "item_moved", INFO, "A run is moved to a faster engine."),
    (332, "item_finished", INFO, "An item is complete, or was given up."),
    (
        338,
        "output_discarded",
        INFO,
        "An output is generated anew; its software version takes no runs.",
    ),
    (
        340,
        "overload_began",
        WARNING,
        "The engines can't complete all open steps on time; some of them yield.",
    ),
    (341, "overload_ended", INFO, "The engines can complete all open steps on time."),
    (342, "step_yielded", WARNING, "A step can't be on time in an overload."),
    (
        343,
        "run_stopped",
        INFO,
        "A run was stopped because its engine's memory was about to be full.",
    ),
    (333, "results_held", WARNING, "Results wait until the store can be written."),
    (334, "progress_unrecorded", WARNING, "The progress of runs was not recorded."),
    (335, "progress_kept", INFO, "Old progress records could not be deleted yet."),
    (336, "reward_call_failed", INFO, "An attempt at a reward call failed."),
    (337, "reward_call_ended", INFO, "A reward call has a score, or was given up."),
    (400, "request_routed", INFO, "A request was sent to a target."),
    (401, "request_answered", INFO, "A request was answered in full."),
    (402, "request_refused", INFO, "A request was refused; it was not run."),
    (403, "request_unknown", WARNING, "A request's outcome is not known."),
    (404, "request_retried", INFO, "A request was retried on another target."),
    (
        405,
        "target_failed",
        WARNING,
        "A target failed; it gets no work during a cooldown.",
    ),
    (406, "target_back", INFO, "A target answers again."),
    (407, "caller_gone", INFO, "The caller closed its connection."),
    (408, "answer_failed", WARNING, "A caller got an error raised by this host."),
    (409, "target_crashed", WARNING, "A target ended while it ran a request."),
    (410, "call_intent", INFO, "A keyed call's intent was recorded."),
    (411, "call_first", INFO, "A keyed call is the first of its key."),
    (412, "call_repeat", INFO, "A keyed call is a repeat; it is not run again."),
    (413, "call_outcome", INFO, "A keyed call's outcome was recorded."),
    (414, "call_forwarded", INFO, "A keyed call was forwarded to the key's owner."),
    (415, "request_on_trial", INFO, "A request that crashed targets is sent again."),
    (420, "limit_named", INFO, "A target named how many requests a second it takes."),
    (421, "limit_ended", INFO, "A target no longer names a limit."),
    (422, "limit_invalid", WARNING, "A target named a limit that is not a number."),
    (
        423,
        "permits_unreachable",
        WARNING,
        "The lease holder grants no permits; hosts send a part of each limit.",
    ),
    (424, "stream_begun", INFO, "A target sent the first event of a caller's stream."),
    (
        425,
        "stream_resumed",
        INFO,
        "A caller's stream goes on at a target after events that it already had.",
    ),
    (
        426,
        "stream_unrecorded",
        WARNING,
        "A stream began before the store had its origin; it is written later.",
    ),
    (500, "version_announced", INFO, "A trainer announced a weight version."),
    (501, "version_known", INFO, "This host learned of a newer weight version."),
    (502, "order_sent", INFO, "An engine was ordered to load a version."),
    (503, "order_refused", WARNING, "An engine refused an order."),
    (504, "order_confirmed", INFO, "An engine has loaded the version it should run."),
    (
        505,
        "engine_put_right",
        WARNING,
        "An engine that reverted to an older version was corrected.",
    ),
    (506, "load_failed", WARNING, "An engine failed to load a version."),
    (507, "engine_out", WARNING, "An engine was taken out of service."),
    (508, "engine_in", INFO, "An engine was put back into service."),
    (600, "usage_written", INFO, "Usage records were appended to the log."),
)
