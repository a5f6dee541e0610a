// What entry instances say to each other. Generated code is committed under
// src/celeryfork_wire/gen; `make thrift` makes it anew (thrift compiler 0.17).
// Fields are only ever added, never renumbered, so that instances of different
// versions can talk while a fleet is being replaced.

namespace py celeryfork_wire.gen.celeryfork

enum InstanceState { STARTING = 1, SERVING = 2, DRAINING = 3, STOPPED = 4 }

// A fact about some subject that spreads from instance to instance. For the same
// (kind, subject), the higher version wins; body is JSON.
struct News {
  1: required string kind,
  2: required string subject,
  3: required i64 version,
  4: required string body,
  5: required i32 age_ms,
  6: optional string origin,
  7: optional i32 ttl_ms,
}

struct Heartbeat {
  1: required string instance,
  2: required i64 incarnation,
  3: required string domain,
  4: required string peer_address,
  5: required string http_address,
  6: required i64 config_offset,
  7: required InstanceState state,
  8: required list<News> news,
  9: required i64 sequence,
}

// How many requests of one organisation an instance wants to start, and how many it
// runs now.
struct PermitRequest {
  1: required string organisation,
  2: required i32 wanted,
  3: required i32 in_use,
}

struct PermitBatch {
  1: required string instance,
  2: required i64 incarnation,
  3: required list<PermitRequest> requests,
}

// One grant for each request of the batch, in order.
struct PermitGrant {
  1: required i32 granted,
  2: required i32 lease_ms,
  3: required i32 retry_after_ms,
  4: required bool over_concurrency,
}

struct ConfigEntry {
  1: required i64 offset,
  2: required i64 appended_ms,
  3: required string data,
}

struct ConfigSlice {
  1: required list<ConfigEntry> entries,
  2: required i64 next_offset,
  3: required bool complete,
}

// One kept result of a non-idempotent call.
struct KeptOutcome {
  1: required string organisation,
  2: required string key,
  3: required string outcome,
  4: required i32 status,
  5: required string content_type,
  6: required binary body,
  7: required i64 kept_ms,
  8: optional string body_hash,
}

struct TicketCall {
  1: required string ticket,
  2: required string organisation,
  3: required string service_name,
  4: required string kind,
  5: required binary body,
  6: required i32 deadline_ms,
  7: optional string body_hash,
  8: optional string request_id,
  9: optional string content_type,
}

struct OutcomeReply {
  1: required bool known,
  2: required bool running,
  3: optional KeptOutcome kept,
}

service Peer {
  Heartbeat exchange(1: Heartbeat mine),
  list<PermitGrant> lease_permits(1: PermitBatch batch),
  ConfigSlice read_configuration(1: i64 after_offset, 2: i32 limit),
  OutcomeReply forward_ticket(1: TicketCall call),
  OutcomeReply find_outcome(1: string organisation, 2: string key, 3: i32 wait_ms),
  void hand_over(1: list<KeptOutcome> outcomes),
}
