@0xb1d5a0c7e94f2d63;
# Calls between entry instances. Field numbers are never reused.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("jujubedrum::wire");

enum Phase {
  starting @0;
  ready @1;
  leaving @2;
}

enum State {
  alive @0;
  suspect @1;
  unreachable @2;
  dead @3;
  leaving @4;
}

struct Observation {
  name @0 :Text;
  incarnation @1 :UInt64;
  heartbeat @2 :UInt64;
  state @3 :State;
  revision @4 :UInt64;
}

struct Digest {
  name @0 :Text;
  domain @1 :Text;
  incarnation @2 :UInt64;
  phase @3 :Phase;
  heartbeat @4 :UInt64;
  revision @5 :UInt64;
  freeSlots @6 :UInt32;
  queuedTasks @7 :UInt32;
  heldGrants @8 :List(UInt64);
  observations @9 :List(Observation);
}

struct Grant {
  id @0 :UInt64;
  server @1 :Text;
  slots @2 :UInt32;
}

struct Record {
  offset @0 :UInt64;
  data @1 :Text;
}

struct Failure {
  error @0 :UInt16;
  mayHaveRun @1 :Bool;
  text @2 :Text;
}

interface Peer {
  heartbeat @0 (digest :Digest) -> (digest :Digest, failure :Failure);
  borrow @1 (borrower :Text, incarnation :UInt64, count :UInt32,
             minimumSpeed :Float64)
      -> (grants :List(Grant), failure :Failure);
  giveBack @2 (borrower :Text, incarnation :UInt64, grants :List(UInt64))
      -> (failure :Failure);
  submit @3 (job :Text, remainingUs :Int64, hops :UInt32)
      -> (outcome :Text, failure :Failure);
  collect @4 (id :Text, waitUs :Int64) -> (outcome :Text, failure :Failure);
  cancel @5 (id :Text) -> (known :Bool, failure :Failure);
  configRecords @6 (from :UInt64, max :UInt32)
      -> (next :UInt64, records :List(Record), failure :Failure);
}
