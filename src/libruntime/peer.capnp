@0xb1d5a0c7e94f2d63;
# Calls between entry instances. Field numbers are never reused.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("jujubedrum::wire");

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
  heartbeat @0 (digest :Data) -> (digest :Data, failure :Failure);
  # The compact form of digest_codec.hpp. As Cap'n Proto structs the digests
  # took 576 bytes instead of about 130, and heartbeats are most of the control
  # traffic.

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
