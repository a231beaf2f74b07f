# Messages between hosts on the users' platform. Only the encoding is used.
@0xc41f6a09d27be853;

using Entry = import "../siblings/gentianhub.capnp";

struct Cell {
  dataCentre @0 :Text;
  index @1 :UInt16;
  count @2 :UInt16;
}

struct Resources {
  cpuMillicores @0 :UInt32;
  memoryMb @1 :UInt32;
  accelerators @2 :UInt32;
}

struct JobStep {
  count @0 :UInt32;
  demand @1 :Resources;
  estimateS @2 :Float64;
  after @3 :List(UInt32);
  requiredLabel @4 :Text;
  dataRack @5 :Text;
  maxPerTarget @6 :UInt32;
}

struct RunTasks {
  cell @0 :Cell;
  job @1 :Text;
  stepNumber @2 :UInt32;
  step @3 :JobStep;
  indexes @4 :List(UInt32);
  payload @5 :Text;
  route @6 :Text;
  service @7 :Text;
  priority @8 :Int32;
  maxAttempts @9 :UInt32;
  ageS @10 :Float64;
  objectiveS @11 :Float64;
  stretch @12 :Float64;
  deadlineInS @13 :Float64;
  mayDecline @14 :Bool;
  isRepeat @15 :Bool;
  heardHeartbeat @16 :UInt64;
  term @17 :UInt64;
}

struct CancelTasks {
  cell @0 :Cell;
  job @1 :Text;
}

struct CancelRequest {
  job @0 :Text;
  askedBy @1 :Entry.Incarnation;
  number @2 :UInt64;
  isPassedOn @3 :Bool;
  passOnTo @4 :List(Entry.ProcessName);
}

struct CancelReply {
  askedBy @0 :Entry.Incarnation;
  number @1 :UInt64;
  wasOpen @2 :Bool;
  recorded @3 :List(Entry.ProcessName);
  lost @4 :List(Entry.ProcessName);
}

struct CancelledJob {
  job @0 :Text;
  ageS @1 :Float64;
}

struct CancelledJobs {
  jobs @0 :List(CancelledJob);
}

struct OpenJobs {
  cell @0 :Cell;
  jobs @1 :List(Text);
  heardHeartbeat @2 :UInt64;
}

struct TasksEnded {
  cell @0 :Cell;
  job @1 :Text;
  stepNumber @2 :UInt32;
  indexes @3 :List(UInt32);
  end @4 :Text;
  hasStarted @5 :Bool;
  term @6 :UInt64;
  isEvacuated @7 :Bool;
}

struct CellClaim {
  cell @0 :Cell;
  term @1 :UInt64;
  freeMillicores @2 :UInt32;
  queuedMillicoreS @3 :UInt32;
  totalMillicores @4 :UInt32;
}

struct HostBeat {
  number @0 :UInt64;
  claims @1 :List(CellClaim);
  configurationVersion @2 :UInt64;
  isDraining @3 :Bool;
  lacksTargets @4 :Bool;
  canOwn @5 :Bool;
  isIdle @6 :Bool;
  requestsOpenJobs @7 :Bool;
  evacuationsVersion @8 :UInt64;
  evacuatedDataCentres @9 :List(Text);
}

struct StoredRow {
  key @0 :Text;
  value @1 :Data;
}

struct TargetsOffer {
  rows @0 :List(StoredRow);
  dataCentre @1 :Text;
}

struct TargetsRequest {
  dataCentre @0 :Text;
}

struct ListedTarget {
  name @0 :Text;
  incarnation @1 :Int64;
  host @2 :Text;
  port @3 :UInt16;
  dataCentre @4 :Text;
  service @5 :Text;
  capacity @6 :Resources;
  labels @7 :List(Text);
  isLeaving @8 :Bool;
}

struct CellTargets {
  cell @0 :Cell;
  term @1 :UInt64;
  targets @2 :List(ListedTarget);
  removed @3 :List(Text);
  isComplete @4 :Bool;
}

struct TaskKey {
  job @0 :Text;
  step @1 :UInt32;
  index @2 :UInt32;
}

struct TargetLoss {
  lossId @0 :Text;
  cell @1 :Cell;
  target @2 :Text;
  host @3 :Text;
  port @4 :UInt16;
  incarnation @5 :Int64;
  tasks @6 :List(TaskKey);
  isComplete @7 :Bool;
  ageS @8 :Float64;
  outcome @9 :Text;
}

struct TargetLosses {
  losses @0 :List(TargetLoss);
  isPassedOn @1 :Bool;
}

struct ConfigurationOffer {
  version @0 :UInt64;
  content @1 :Data;  # compressed with zlib
}

struct ConfigurationRequest {
  knownVersion @0 :UInt64;
}

struct Message {
  union {
    hello @0 :Entry.Hello;
    hostBeat @1 :HostBeat;
    runTasks @2 :RunTasks;
    cancelTasks @3 :CancelTasks;
    tasksEnded @4 :TasksEnded;
    configurationOffer @5 :ConfigurationOffer;
    targetsOffer @6 :TargetsOffer;
    cellTargets @7 :CellTargets;
    configurationRequest @8 :ConfigurationRequest;
    targetLosses @9 :TargetLosses;
    targetsRequest @10 :TargetsRequest;
    openJobs @11 :OpenJobs;
    cancelRequest @12 :CancelRequest;
    cancelReply @13 :CancelReply;
    cancelledJobs @14 :CancelledJobs;
  }
}
