@0xb1d5a0c7e94f2d63;
# Calls between entry instances. Field numbers are never reused.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("jujubedrum::wire");

struct SlotCount {
  server @0 :Text;
  count @1 :UInt32;
}

struct Grant {
  sequence @0 :UInt64;
  slots @1 :List(SlotCount);
}

struct GrantReport {
  borrower @0 :Text;
  # Empty in a heartbeat, whose digest names the sender.
  through @1 :UInt64;
  held @2 :List(Grant);
  open @3 :List(UInt64);
  free @4 :UInt32;
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
  heartbeat @0 (digest :Data, grants :GrantReport)
      -> (digest :Data, revoked :List(UInt64), failure :Failure);
  # The compact form of digest_codec.hpp. As Cap'n Proto structs the digests
  # took 576 bytes instead of about 130, and heartbeats are most of the control
  # traffic.

  borrow @1 (grants :GrantReport, sequence :UInt64, needed :UInt32,
             wanted :UInt32)
      -> (grant :Grant, grants :GrantReport, revoked :List(UInt64),
          failure :Failure);
  giveBack @2 (grants :GrantReport)
      -> (revoked :List(UInt64), failure :Failure);
  submit @3 (job :Text, remainingUs :Int64, hops :UInt32)
      -> (body :Text, failure :Failure);
  collect @4 (id :Text, team :Text, waitUs :Int64)
      -> (body :Text, failure :Failure);
  cancel @5 (id :Text, team :Text) -> (body :Text, failure :Failure);
  configRecords @6 (from :UInt64)
      -> (records :List(Record), failure :Failure);
}
