"""The catalogue of numbered events. Numbers are never used again for another."""

from __future__ import annotations

from dataclasses import dataclass

INFO = "info"
WARNING = "warning"
ERROR = "error"


@dataclass(frozen=True, slots=True)
class EventKind:
    """One line of the catalogue."""

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
    (101, "host_ready", INFO, "The host has a configuration and takes work."),
    (102, "host_draining", INFO, "A planned stop began; no new work soon."),
    (103, "host_stopped", INFO, "The host ended; nothing was in flight."),
    (104, "drain_limit", WARNING, "The stop's limit passed with work in flight."),
    (105, "host_paused", WARNING, "The process did not run for a while."),
    (110, "peer_unreachable", WARNING, "A peer did not answer; it owns nothing now."),
    (111, "peer_returned", INFO, "A peer answers again."),
    (112, "host_list_lost", WARNING, "The platform's host list can't be read."),
    (113, "host_list_back", INFO, "The platform's host list can be read again."),
    (114, "target_leaving", INFO, "A target is leaving; it gets no new work."),
    (115, "target_registered", INFO, "A target registered; it may get work."),
    (116, "target_gone", INFO, "A target's entry went; it gets no new work."),
    (120, "settings_read", INFO, "The settings file was read again."),
    (121, "settings_kept", WARNING, "A new settings file is bad; the old one holds."),
    (200, "log_lost", WARNING, "The log can't be read; peers pass records on."),
    (201, "log_back", INFO, "The log can be read again."),
    (202, "change_asked", INFO, "An operator asked for a change."),
    (203, "change_applied", INFO, "A change came into force at this host."),
    (204, "change_rejected", INFO, "A change lost to an earlier one."),
    (205, "change_unknown", WARNING, "A change's outcome is not known yet."),
    (206, "snapshot_written", INFO, "A snapshot was appended to the log."),
    (207, "snapshot_loaded", INFO, "The configuration came from a snapshot."),
    (208, "records_from_peer", INFO, "Records came from a peer in a log outage."),
    (209, "record_invalid", ERROR, "A record of the log has no valid form."),
    (210, "snapshot_differs", ERROR, "A snapshot differs from this host's state."),
    (211, "manifest_applied", INFO, "A manifest came into force at this host."),
    (212, "store_turned_away", WARNING, "The store does not serve this host."),
    (213, "store_serves_again", INFO, "The store serves this host again."),
    (220, "lease_taken", INFO, "This host runs batches and orders loads now."),
    (221, "lease_given_up", INFO, "Another host may run batches now."),
    (222, "lease_unsure", WARNING, "The lease can't be renewed; no orders are sent."),
    (223, "lease_kept", WARNING, "The lease could not be given up; it will lapse."),
    (300, "step_started", INFO, "A trainer's step began or went on at this host."),
    (301, "step_done", INFO, "Every sample of the step was handed over."),
    (302, "step_moved", INFO, "The trainer was told to call another host."),
    (303, "step_cut", INFO, "The trainer's connection ended before the step."),
    (304, "step_failed", WARNING, "The step can't go on at this host."),
    (305, "sample_dispatched", INFO, "An engine was asked for a sample."),
    (306, "sample_resumed", INFO, "A sample's stream was resumed."),
    (307, "sample_whole", INFO, "A sample is whole."),
    (308, "sample_stale", INFO, "A sample was over the bound and is made again."),
    (309, "sample_lost", WARNING, "A sample's stream was lost and is made again."),
    (310, "sample_unstamped", ERROR, "A sample had a piece without a version."),
    (311, "group_handed", INFO, "A whole group was handed to the trainer."),
    (312, "second_attempt", INFO, "A straggler is made on another engine too."),
    (313, "hand_over_held", WARNING, "The view is too old to judge freshness."),
    (314, "step_superseded", INFO, "Another host runs this step now."),
    (315, "step_waiting", WARNING, "No engine may take the step's samples now."),
    (316, "sample_given_back", INFO, "A sample left an engine that was lent to it."),
    (320, "batch_accepted", INFO, "A batch was accepted; it will be kept."),
    (321, "batch_refused", WARNING, "A batch was refused; nothing of it was kept."),
    (322, "batch_unknown", WARNING, "Nobody can tell whether a batch was accepted."),
    (323, "batch_ended", INFO, "A batch was ended by its trainer."),
    (
        324,
        "batches_skipped",
        ERROR,
        "Records of batches expired before they were read.",
    ),
    (326, "batches_recalled", INFO, "A new holder read what there is to do."),
    (327, "results_read", INFO, "A caller read results of a batch."),
    (330, "item_run", INFO, "A run of an item ended, in whatever way."),
    (331, "item_moved", INFO, "A run is to go on at a faster engine."),
    (332, "item_finished", INFO, "An item's text is whole, or it was given up."),
    (333, "results_held", WARNING, "Results wait for the store."),
    (334, "progress_unrecorded", WARNING, "The progress of runs was not recorded."),
    (335, "progress_kept", INFO, "Old progress records could not be deleted yet."),
    (400, "request_routed", INFO, "A request was sent to a target."),
    (401, "request_answered", INFO, "A request was answered whole."),
    (402, "request_refused", INFO, "A request was refused without being run."),
    (403, "request_unknown", WARNING, "A request's outcome is not known."),
    (404, "request_retried", INFO, "A request was sent to another target."),
    (405, "target_failed", WARNING, "A target failed; it gets nothing for a while."),
    (406, "target_back", INFO, "A target answers again."),
    (407, "caller_gone", INFO, "The caller closed its connection."),
    (408, "answer_failed", WARNING, "A caller got an error of this host's own."),
    (410, "call_intent", INFO, "A keyed call's intent was recorded."),
    (411, "call_first", INFO, "A keyed call is the first of its key."),
    (412, "call_repeat", INFO, "A keyed call is a repeat; it is not run."),
    (413, "call_outcome", INFO, "A keyed call's outcome was recorded."),
    (414, "call_forwarded", INFO, "A keyed call went to the key's owner."),
    (500, "version_announced", INFO, "A trainer announced a weight version."),
    (501, "version_known", INFO, "This host knows of a newer weight version."),
    (502, "order_sent", INFO, "An engine was ordered to load a version."),
    (503, "order_refused", WARNING, "An engine refused an order."),
    (504, "order_confirmed", INFO, "An engine runs the version it should."),
    (505, "engine_put_right", WARNING, "An engine ran an older version again."),
    (506, "load_failed", WARNING, "An engine failed to load a version."),
    (507, "engine_out", WARNING, "An engine was taken out of use."),
    (508, "engine_in", INFO, "An engine was taken back into use."),
    (600, "usage_written", INFO, "Usage records were appended to the log."),
)
