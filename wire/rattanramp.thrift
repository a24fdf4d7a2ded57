// Messages between rattanramp processes. Encoded with TCompactProtocol, one Frame after each length prefix.
// Durations are in milliseconds and relative to the time of sending, so that the clocks of processes need not be
// synchronised.
// After a change run scripts/generate-wire and commit the result.
namespace cpp rattanramp.wire

enum ProcessRole { ENTRY = 1, AGENT = 2 }

enum WorkKind { PREFILL = 1, DECODE = 2, GENERATE = 3, CALL = 4 }

/** What is known about the execution of a request at the time of the answer. */
enum Outcome { NOT_RUN = 1, RAN = 2, UNKNOWN = 3 }

enum EngineRole { PREFILL = 1, DECODE = 2, BOTH = 3, SERVICE = 4 }

enum UpstreamState { STARTING = 1, READY = 2, LEAVING = 3, DOWN = 4 }

enum RefusalKind {
  NO_ROOM = 1, QUEUE_FULL = 2, LEAVING = 3, WRONG_MODEL = 4, DEADLINE = 5, KEY_REUSED = 6,
  OWNED_ELSEWHERE = 7, KEY_EXPIRED = 8, STORE_UNAVAILABLE = 9, SUSPECT = 10, NOT_READY = 11,
  MALFORMED = 12, UPSTREAM_DOWN = 13, ABANDONED = 14, OWNER_GONE = 15, UPSTREAM_CRASHED = 16,
  LEASE_EXPIRED = 17, KV_GONE = 18, TRANSFER_STALLED = 19, CANCELLED = 20, UPSTREAM_ERROR = 21
}

struct Hello {
  1: i32 protocol_version
  2: string process_id
  3: ProcessRole role
  /** Unique for each start of a process. */
  4: i64 incarnation
  5: string failure_domain
  6: string region
  7: i64 settings_version
}

struct Heartbeat {
  1: i64 sequence
  2: i64 settings_version
}

struct PrefixEvent {
  1: i64 sequence
  2: i64 block_hash
  /** False when the block was evicted. */
  3: bool stored
}

struct CrashCount {
  1: i64 fingerprint
  2: string upstream
  3: i64 upstream_incarnation
  4: i64 age_ms
  /** True when the fingerprint has since completed a run and is no longer suspected. */
  5: bool cleared
}

struct LoadReport {
  1: i64 sequence
  2: UpstreamState state
  3: string service_name
  4: string model
  5: EngineRole role
  /** Pieces of 2,048 tokens. */
  6: i32 total_pieces
  7: i32 free_pieces
  8: i32 max_running
  9: i32 running
  10: i32 queued
  11: i64 queued_prefill_tokens
  12: double prefill_tokens_per_s
  13: double decode_token_ms
  14: i64 link_queue_bytes
  15: double link_bytes_per_s
  16: i64 engine_incarnation
  17: list<PrefixEvent> prefix_events
  18: list<CrashCount> crashes
  /** URL of the upstream, used as the source of KV imports. */
  19: string upstream_url
  20: double kv_bytes_per_token
}

struct Submit {
  1: string attempt_id
  2: string request_id
  3: WorkKind kind
  4: string service_name
  5: string model
  6: string customer
  /** Prompt of a generation or body of a call. */
  7: string body
  8: i32 prompt_tokens
  9: i32 max_output_tokens
  10: i32 expected_output_tokens
  /** Time left until the caller stops waiting. */
  11: i64 deadline_ms
  /** Smaller is served first. */
  12: i32 priority
  /** How long room is held for a DECODE whose KV has not been produced yet. */
  13: i64 hold_ms
  /** Output already delivered to the caller; generation continues after it. */
  14: string already_sent
  15: string method
  16: string path
  17: string content_type
  18: string idempotency_key
  19: i64 body_hash
  20: i64 fingerprint
  21: i32 crash_count
  22: bool repeatable
  23: bool patient
  24: list<i64> prefix_hashes
}

struct Granted {
  1: string attempt_id
  /** Estimated wait before the work starts. */
  2: i64 wait_ms
}

struct Refused {
  1: string attempt_id
  2: RefusalKind kind
  3: Outcome outcome
  4: string message
  5: string remedy
  /** Negative when a retry makes no sense. */
  6: i64 retry_after_ms
  7: string owner_agent
  8: i64 owner_incarnation
  9: optional LoadReport load
}

struct PrefillDone {
  1: string attempt_id
  2: string kv_handle
  3: string source_url
  4: i64 kv_bytes
  5: i32 prefill_tokens
  6: i32 cached_tokens
}

struct StartDecode {
  1: string attempt_id
  2: string kv_handle
  3: string source_url
  4: i64 kv_bytes
}

struct Chunk {
  1: string attempt_id
  /** Position of data[0] in the output of this attempt, in bytes. */
  2: i64 offset
  3: binary data
  4: i32 tokens
}

struct End {
  1: string attempt_id
  2: Outcome outcome
  /** True only when the upstream finished the answer; total_bytes is then final. */
  3: bool complete
  /** HTTP status of a call. */
  4: i32 status
  5: i64 total_bytes
  6: i32 output_tokens
  7: i32 prefill_tokens
  8: i32 cached_tokens
  9: optional RefusalKind error
  10: string message
  11: string remedy
  12: string content_type
  /** True when the result is a recorded one and the call did not run again. */
  13: bool replayed
  14: list<CrashCount> crashes
  /** True when the upstream has not stated the end of its answer, which may not be whole. */
  15: optional bool end_unstated
}

struct Cancel {
  1: string attempt_id
  2: string reason
}

struct Resume {
  1: string attempt_id
  2: i64 offset
}

struct IssueKey {
  1: string request_id
  2: string service_name
}

struct KeyIssued {
  1: string request_id
  2: string key
  3: string error
}

struct SettingsPull {
  1: i64 have_version
}

struct SettingsChange {
  1: i64 version
  2: string change_id
  3: string author
  4: i64 at_unix_ms
  /** JSON array of {"op":"set"|"unset","path","key","value"}. */
  5: string operations_json
}

struct SettingsPush {
  1: i64 version
  /** Present when the receiver is too far behind for changes alone. */
  2: optional string snapshot_json
  3: list<SettingsChange> changes
}

struct VmRecord {
  1: string id
  2: ProcessRole role
  3: string link_address
  4: string failure_domain
  5: string region
  6: bool leaving
}

struct VmListPull {
  1: i64 have_version
}

struct VmListPush {
  1: i64 version
  2: list<VmRecord> vms
}

struct SuspicionNotice {
  1: list<CrashCount> crashes
}

/** Asks an agent to take no new work and to finish what it runs. */
struct Drain {
  1: string reason
}

/** Exactly one member is set. */
union Frame {
  1: Hello hello
  2: Heartbeat heartbeat
  3: LoadReport load_report
  4: Submit submit
  5: Granted granted
  6: Refused refused
  7: PrefillDone prefill_done
  8: StartDecode start_decode
  9: Chunk chunk
  10: End attempt_end
  11: Cancel cancel
  12: Resume resume
  13: IssueKey issue_key
  14: KeyIssued key_issued
  15: SettingsPull settings_pull
  16: SettingsPush settings_push
  17: VmListPull vm_list_pull
  18: VmListPush vm_list_push
  19: SuspicionNotice suspicion_notice
  20: Drain drain
}

struct GatewayUpstreamLoad {
  1: required i64 upstream_key
  2: required i64 running
  3: required i64 reserved_tokens
  4: required i64 prefill_tokens
}

/** Entry of the platform's list of upstreams. */
struct GatewayListEntry {
  1: required string id
  2: required string service_name
  3: required string failure_domain
  4: required string address
  5: required i32 port
  /** 0 plain, 1 prefill, 2 decode. */
  6: required i32 stage
  7: required i64 slots
  8: required bool draining
  9: required i64 started_unix_ms
}

/** What a gateway found when it read the list of upstreams. */
struct GatewayListNews {
  /** The store's clock at the read. */
  1: required i64 read_clock_ms
  /** Sum of the hashes of all entries. */
  2: required i64 digest
  /** Entries that are new or changed since the gateway's previous view. */
  3: required list<GatewayListEntry> changed
  4: required list<string> removed
}

/** A request that was lost with its upstream before the upstream had shown that it can answer it. */
struct GatewayStartLoss {
  1: required i64 upstream_key
  /** Hash of the request's content. */
  2: required i64 content
  /** Hashes of the parts of its prompt but the last, in the order of the prompt. */
  3: required list<i64> parts
  4: required i64 age_ms
  /** Time from the start of the attempt until the loss. */
  5: optional i64 run_ms
}

/** An upstream with losses, and how long ago a request was sent there that it has answered. */
struct GatewayRunningUpstream {
  1: required i64 upstream_key
  2: required i64 age_ms
}

/** A part of prompts, and how long ago a request with it was sent that an upstream has answered. */
struct GatewayAnsweredPart {
  1: required i64 part
  2: required i64 age_ms
}

/** A version of the configuration, and when the store has shown it to be the newest. */
struct GatewayConfigEvidence {
  /** Version of the configuration's row. */
  1: required i64 row_version
  /** The store's clock at that time. */
  2: required i64 clock_ms
  /** The store's history in which the row has this version; 0 or missing: unknown. */
  3: optional i64 era
}

/** The configuration itself, for a gateway that the store does not answer. */
struct GatewayConfigRow {
  1: required i64 row_version
  2: required string text
  /** As in GatewayConfigEvidence. */
  3: optional i64 era
}

/** What one workspace has used at one gateway. */
struct GatewayWorkspaceUse {
  /** Hash of its name. */
  1: required i64 workspace
  /** Units that were taken since the start of the gateway's process. */
  2: required i64 used
  /** Units per second that its callers have asked for lately, refused ones included. */
  3: required i64 demand_per_s
  /** Units of requests that wait for an upstream. */
  4: optional i64 waiting
}

enum GatewayUpstreamSignKind {
  /** A connection could not be made, or was lost under a request. */
  FAILED = 0
  /** The upstream has answered a request. */
  ANSWERED = 1
}

/** A sign of life, or of the opposite, of an upstream that some gateway suspects to have ended. */
struct GatewayUpstreamSign {
  1: required i64 upstream_key
  2: required GatewayUpstreamSignKind kind
  3: required i64 age_ms
}

/** Speed of an upstream against its equals, as a gateway has measured it. */
struct GatewayUpstreamSpeed {
  1: required i64 upstream_key
  /** Time that its work takes, in thousandths of the time that it takes at the median upstream. */
  2: required i32 slowness_permille
  /** Answers that the measurement rests on. */
  3: required i32 samples
  4: required i64 age_ms
}

/** Work of one gateway, sent to its peers in one datagram. */
struct GatewayLoad {
  1: required string gateway
  /** Grows with each report of a process; a smaller one that arrives late is dropped. */
  2: required i64 sequence
  3: required list<GatewayUpstreamLoad> upstreams
  /** Memory that waiting generations need, in tokens, by service: those that can be on time. */
  4: required map<string, i64> waiting_tokens
  /** The same for those that are late already. */
  5: required map<string, i64> late_waiting_tokens
  /** Keys of upstreams that must get no new work: they leave, or change their stage. */
  6: required list<i64> withheld_upstreams
  /** Gateways of earlier versions skip this field. */
  7: optional GatewayListNews list_news
  /** Evidence about what crashes upstreams. Gateways of earlier versions skip these fields. */
  8: optional list<GatewayStartLoss> start_losses
  9: optional list<GatewayAnsweredPart> answered_parts
  /** Causes that the gateway has blocked; start_losses has the evidence. */
  10: optional list<i64> blocked_causes
  /** Upstreams that the gateway has seen running since their losses. */
  11: optional list<GatewayRunningUpstream> running_upstreams
  /** Fields that gateways of earlier versions skip. */
  12: optional GatewayConfigEvidence config_evidence
  /** The row version of the configuration that the gateway asks the receiver for. */
  13: optional i64 wanted_config
  14: optional GatewayConfigRow config_row
  /** Start of the gateway's process in Unix ms; counts of an earlier process are not continued. */
  15: optional i64 started_unix_ms
  16: optional list<GatewayWorkspaceUse> workspace_use
  17: optional list<GatewayUpstreamSign> upstream_signs
  18: optional list<GatewayUpstreamSpeed> upstream_speeds
  /** The store's history to which wanted_config belongs; 0 or missing: unknown. */
  19: optional i64 wanted_config_era
}
