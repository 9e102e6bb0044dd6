"""Names of the headers that the platform's protocol defines."""

# The id of a caller's request, of a batch or of an item. Despite its name, it stays the
# same when this host sends a request again.
ATTEMPT_ID = "X-Cranberryrun-Attempt-Id"
DEADLINE_MS = "X-Cranberryrun-Deadline-Ms"
# A successful answer without it is rejected. In the answer to a reward call, its value
# is the score.
SIGNATURE = "X-Cranberryrun-Server-Signature"
# The id of the target. Another instance at the same address answers 421.
EXPECT_INSTANCE = "X-Cranberryrun-Expect-Instance"
# The weight version that the engine must serve; it answers 421 if it serves another.
EXPECT_VERSION = "X-Cranberryrun-Expect-Version"
# Present if the target did not run the request, so that it may be sent again.
NOT_EXECUTED = "X-Cranberryrun-Not-Executed"
# How long a read of results may wait for the first result.
WAIT_MS = "X-Cranberryrun-Wait-Ms"
MODEL = "X-Cranberryrun-Model"
# The caller's estimate of an item's tokens.
LENGTH_HINT = "X-Cranberryrun-Length-Hint"
# An item's prompt tokens and its maximum number of output tokens: "812, 1024".
TOKEN_USAGE = "X-Cranberryrun-Token-Usage"
# The parts of an item's prompt that other items share, each as ID:TOKENS.
PREFIX_HASH = "X-Cranberryrun-Prefix-Hash"
# The weight version with which a stream starts; one number, despite the plural.
WEIGHT_VERSION = "X-Cranberryrun-Weight-Versions"
# Present in all answers of a target that is about to end. The platform's announcement
# spells it without the prefix of the other headers; both spellings count.
LEAVING = ("Server-Leaving", "X-Cranberryrun-Server-Leaving")
LAST_EVENT_ID = "Last-Event-Id"
# The id of the caller's request that brought the first event of the stream that this
# one takes up again.
RESUMES = "Resumes"
# The requests a second that the target takes from all hosts together, while it says so.
LIMIT = "Server-Limit"
# Headers of answers with one value, which says whose the answer is or what it means.
DECIDING = (ATTEMPT_ID, SIGNATURE, WEIGHT_VERSION, LIMIT)
# The secret of a caller. It ends at this host: no target and no other host gets it.
KEY = "X-Cranberryrun-Key"
# The name of the caller's workspace, which only hosts set.
WORKSPACE = "X-Cranberryrun-Tenant"
# Headers of callers that nothing behind the frontend may see, in lower case.
CALLERS_OWN = frozenset({KEY.lower(), WORKSPACE.lower()})
# The host that makes a call to the platform's API, and the fencing token of its lease.
DUTY_HOLDER = "X-Cranberryrun-Duty-Holder"
FENCING_TOKEN = "X-Cranberryrun-Fencing-Token"

_STANDARD = {
    "accept",
    "accept-encoding",
    "accept-language",
    "cache-control",
    "connection",
    "content-encoding",
    "content-length",
    "content-type",
    "date",
    "expect",
    "host",
    "keep-alive",
    "relay-outcome",
    "retry-after",
    "server",
    "transfer-encoding",
    "user-agent",
}
# Documented headers that this package passes on without reading them.
_PASSED_ON = {
    "x-cranberryrun-instance-id",
    "x-cranberryrun-pin-ms",
    "x-cranberryrun-request-priority",
}

# In lower case.
KNOWN_IN_ANSWERS = frozenset(
    _STANDARD
    | {"x-cranberryrun-instance-id"}
    | {
        name.lower()
        for name in (
            ATTEMPT_ID,
            SIGNATURE,
            NOT_EXECUTED,
            WEIGHT_VERSION,
            LIMIT,
            *LEAVING,
        )
    }
)
KNOWN_IN_REQUESTS = frozenset(
    _STANDARD
    | _PASSED_ON
    | {
        name.lower()
        for name in (ATTEMPT_ID, DEADLINE_MS, WAIT_MS, MODEL, LENGTH_HINT)
        + (LAST_EVENT_ID, RESUMES, KEY, WORKSPACE, TOKEN_USAGE, PREFIX_HASH)
    }
)
