// This file defines the Thrift protocol that hosts use to call each other.

// A Fact is one entry of a host's view of the cluster. When two facts have the
// same kind and name, a merge keeps the one with the greater (incarnation, value).
struct Fact {
  1: i16 kind,
  2: string name,
  3: i64 incarnation,
  4: i64 value,
}

// An Exchange carries facts of the sender's view, normally only new ones, and a digest
// that shows whether two views differ. If all_facts is set, the receiver answers with
// every fact that it exchanges.
struct Exchange {
  1: string sender,
  2: i64 incarnation,
  3: list<Fact> facts,
  4: bool all_facts,
  5: i64 offset,
  6: i64 digest,
  7: string zone,
}

struct Record {
  1: i64 offset,
  2: double time,
  3: string value,
}

struct Records {
  1: list<Record> records,
  2: bool complete,
}

struct Snapshot {
  1: bool ready,
  2: string state,
  3: list<Fact> facts,
}

struct Header {
  1: string name,
  2: string value,
}

struct KeyedCall {
  1: string service_name,
  2: string method,
  3: string path,
  4: string key,
  5: string caller,
  6: string request,
  7: list<Header> headers,
  8: binary body,
  9: double deadline_seconds,
}

struct KeyedReply {
  1: i32 status,
  2: list<Header> headers,
  3: binary body,
}

struct EventPage {
  1: string events,
  2: i64 last,
}

service Peer {
  Exchange exchange(1: Exchange mine),
  Records records(1: i64 start, 2: i32 limit),
  Snapshot snapshot(),
  KeyedReply call(1: KeyedCall call),
  EventPage events(1: i64 after, 2: i32 limit, 3: string selection),
}
