@0xb7c4d2e19a6f3581;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("limpettrestle::wire");

struct Member {
  id @0 :UInt64;
  name @1 :Text;
  address @2 :Text;
  zone @3 :UInt64;
  incarnation @4 :UInt64;
  refutation @5 :UInt32;
  state @6 :UInt8;
}

struct Drain {
  replica @0 :UInt64;
  serverIncarnation @1 :UInt64;
  serving @2 :Bool;
}

struct Stamp {
  version @0 :UInt64;
  digest @1 :UInt64;
}

struct Gossip {
  members @0 :List(Member);
  drains @1 :List(Drain);
  config @2 :Stamp;
}

struct ConfigRecord {
  revision @0 :UInt64;
  change @1 :Text;
  base @2 :Stamp;
  text @3 :Text;
  checkpoint @4 :Bool;
  version @5 :UInt64;
}

struct RequestId {
  issuer @0 :UInt64;
  sequence @1 :UInt64;
}

struct Probe {
  sequence @0 :UInt64;
  gossip @1 :Gossip;
}

struct ProbeRequest {
  sequence @0 :UInt64;
  target @1 :UInt64;
}

struct ConfigNews {
  record @0 :ConfigRecord;
  result @1 :Stamp;
}

struct StateReply {
  stamp @0 :Stamp;
  platformRevision @1 :UInt64;
  text @2 :Data;
  drains @3 :List(Drain);
  members @4 :List(Member);
}

struct ExecuteItem {
  attempt @0 :UInt32;
  shard @1 :UInt32;
  replica @2 :UInt64;
  hedge @3 :Bool;
  deputy @4 :Bool;
}

struct ExecuteBatch {
  request @0 :RequestId;
  service @1 :UInt64;
  snapshot @2 :UInt64;
  mapVersion @3 :UInt64;
  configVersion @4 :UInt64;
  limit @5 :UInt32;
  priority @6 :UInt8;
  budgetMicros @7 :Int64;
  query @8 :Data;
  items @9 :List(ExecuteItem);
}

struct ExecuteItemResult {
  attempt @0 :UInt32;
  shard @1 :UInt32;
  replica @2 :UInt64;
  code @3 :UInt16;
  sent @4 :Bool;
  snapshot @5 :UInt64;
  mapVersion @6 :UInt64;
  oldestSnapshot @7 :UInt64;
  newestSnapshot @8 :UInt64;
  predictedWaitMicros @9 :Int64;
  ownerHint @10 :UInt64;
  body @11 :Data;
  checksum @12 :UInt64;
}

struct ExecuteResults {
  request @0 :RequestId;
  items @1 :List(ExecuteItemResult);
}

struct CancelBatch {
  request @0 :RequestId;
  attempts @1 :List(UInt32);
}

struct SlotRequest {
  request @0 :RequestId;
  replica @1 :UInt64;
  budgetMicros @2 :Int64;
}

struct SlotReply {
  request @0 :RequestId;
  replica @1 :UInt64;
  code @2 :UInt16;
  predictedWaitMicros @3 :Int64;
  ownerHint @4 :UInt64;
}

struct SlotRelease {
  request @0 :RequestId;
  replica @1 :UInt64;
}

struct Permit {
  issuer @0 :UInt64;
  incarnation @1 :UInt64;
  nonceHigh @2 :UInt64;
  nonceLow @3 :UInt64;
}

struct SubmitForward {
  request @0 :RequestId;
  permit @1 :Permit;
  service @2 :Text;
  key @3 :Text;
  body @4 :Data;
  budgetMicros @5 :Int64;
}

struct SubmitOutcome {
  request @0 :RequestId;
  outcome @1 :UInt8;
  code @2 :UInt16;
  retryAfterMillis @3 :Int64;
  body @4 :Data;
}

struct Message {
  from @0 :UInt64;
  incarnation @1 :UInt64;
  wallMicros @2 :Int64;
  counter @3 :UInt32;
  body :union {
    probe @4 :Probe;
    probeAck @5 :Probe;
    probeRequest @6 :ProbeRequest;
    notice @7 :Gossip;
    configNews @8 :ConfigNews;
    stateRequest @9 :Stamp;
    stateReply @10 :StateReply;
    executeBatch @11 :ExecuteBatch;
    executeResults @12 :ExecuteResults;
    cancelBatch @13 :CancelBatch;
    slotRequest @14 :SlotRequest;
    slotReply @15 :SlotReply;
    slotRelease @16 :SlotRelease;
    submitForward @17 :SubmitForward;
    submitOutcome @18 :SubmitOutcome;
  }
}

interface Peer {
  # Delivers messages. The call returns once the receiver has queued all of them.
  deliver @0 (messages :List(Message)) -> ();
}
