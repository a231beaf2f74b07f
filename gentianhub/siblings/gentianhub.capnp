# Messages between entry processes. Only the encoding is used, not Cap'n Proto RPC.
# A field that may be absent says so; the absent numbers are -1 and NaN.
@0xd5b1f0a7c3e94d21;

struct ProcessName {
  dataCentre @0 :Text;
  process @1 :Text;
}

struct Incarnation {
  name @0 :ProcessName;
  token @1 :UInt64;
}

struct JobId {
  owner @0 :Incarnation;
  sequence @1 :UInt64;
}

struct ProcessAddress {
  name @0 :ProcessName;
  host @1 :Text;
  port @2 :UInt16;
  leaving @3 :Bool;
}

struct TargetAddress {
  name @0 :Text;
  dataCentre @1 :Text;
  host @2 :Text;
  port @3 :UInt16;
  leaving @4 :Bool;
}

struct Hello {
  protocolVersion @0 :UInt16;
  sender @1 :Incarnation;
  startedMs @2 :Int64;   # Unix time
  host @3 :Text;
  port @4 :UInt16;
}

struct Heartbeat {
  tableVersion @0 :UInt64;
  leaving @1 :List(Text);
}

struct SlotDemand {
  borrower @0 :Incarnation;
  number @1 :UInt64;
  wanted @2 :UInt32;
  weight @3 :Float64;
}

struct SlotGrant {
  home @0 :Incarnation;
  target @1 :Text;
  count @2 :UInt32;
  demandNumber @3 :UInt64;
  leaseS @4 :Float64;
  contended @5 :Bool;
}

struct SlotReturn {
  borrower @0 :Incarnation;
  target @1 :Text;
  count @2 :UInt32;
}

struct TargetCount {
  target @0 :Text;
  count @1 :UInt32;
}

struct SlotsHeld {
  borrower @0 :Incarnation;
  counts @1 :List(TargetCount);
}

struct Task {
  kind @0 :Text;
  body @1 :Data;
  declaredRunMs @2 :Float64;  # NaN: absent
  declaredBytes @3 :Int64;    # -1: absent
}

struct JobRequest {
  service @0 :Text;
  tasks @1 :List(Task);
  deadlineS @2 :Float64;
  idempotent @3 :Bool;
  digest @4 :Text;
}

struct Submission {
  request @0 :JobRequest;
  jobId @1 :JobId;  # null: absent
}

struct Watch {
  jobId @0 :JobId;
  waitS @1 :Float64;
}

struct ForwardRequest {
  number @0 :UInt64;
  operation :union {
    issue @1 :UInt32;
    submit @2 :Submission;
    watch @3 :Watch;
    cancel @4 :JobId;
  }
}

struct Refusal {
  kind @0 :Text;
  step @1 :Text;
  peer @2 :Text;
  reason @3 :Text;
  expected @4 :Text;     # null: absent
  field @5 :Text;        # null: absent
  run @6 :Text;
  retryAfterS @7 :Float64;  # NaN: absent
}

struct IdBlock {
  owner @0 :Incarnation;
  first @1 :UInt64;
  count @2 :UInt32;
}

struct JobAccepted {
  jobId @0 :JobId;
  known @1 :Bool;
}

struct TaskOutcome {
  runS @0 :Float64;
  step @1 :Text;
  peer @2 :Text;
  reason @3 :Text;
  union {
    complete @4 :Data;
    failed @5 :Void;
    notRun @6 :Void;
    unknown @7 :Void;
  }
}

struct JobPending {
  endedTasks @0 :UInt32;
  startedTasks @1 :UInt32;
}

struct ForwardReply {
  number @0 :UInt64;
  reply :union {
    refusal @1 :Refusal;
    ids @2 :IdBlock;
    accepted @3 :JobAccepted;
    pending @4 :JobPending;
    complete @5 :List(Data);
    failed @6 :List(TaskOutcome);
  }
}

struct TeamRow {
  weight @0 :Float64;
  quotaSlots @1 :Int64;  # -1: absent
}

struct ServiceRow {
  team @0 :Text;
  weight @1 :Float64;
  maxRunning @2 :Int64;  # -1: absent
  maxQueuedS @3 :Float64;
}

struct TargetRow {
  slots @0 :UInt32;
  connections @1 :UInt32;
}

struct Row {
  name @0 :Text;
  union {
    team @1 :TeamRow;
    service @2 :ServiceRow;
    target @3 :TargetRow;
  }
}

struct Removal {
  sheet @0 :Text;
  name @1 :Text;
}

struct TableChange {
  version @0 :UInt64;
  changeId @1 :Text;
  author @2 :Text;
  reason @3 :Text;
  rows @4 :List(Row);
  removals @5 :List(Removal);
}

struct Table {
  version @0 :UInt64;
  rows @1 :List(Row);
}

struct TableRequest {
  after @0 :UInt64;
}

struct TableDeltas {
  snapshot @0 :Table;  # null: absent
  changes @1 :List(TableChange);
}

struct HostList {
  processes @0 :List(ProcessAddress);
  targets @1 :List(TargetAddress);
}

struct Message {
  union {
    hello @0 :Hello;
    heartbeat @1 :Heartbeat;
    slotDemand @2 :SlotDemand;
    slotGrant @3 :SlotGrant;
    slotReturn @4 :SlotReturn;
    slotsHeld @5 :SlotsHeld;
    forwardRequest @6 :ForwardRequest;
    forwardReply @7 :ForwardReply;
    tableRequest @8 :TableRequest;
    tableDeltas @9 :TableDeltas;
    hostList @10 :HostList;
  }
}
