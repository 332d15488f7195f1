@0xd3c1a8f5b7e26904;
# Messages between instances that share the work of the users' platform. Field
# numbers are never reused.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("jujubedrum::dispatch_wire");

struct PoolHold {
  domain @0 :Text;
  shard @1 :UInt32;
  token @2 :UInt64;
  clean @3 :Bool;
  servers @4 :List(UInt64);  # hashes of ids
  listsServers @5 :Bool;  # false in messages of earlier versions
}

struct Hello {
  name @0 :Text;
  boot @1 :UInt64;
  domain @2 :Text;
  cpu @3 :UInt32;
  draining @4 :Bool;
  pools @5 :List(PoolHold);
  load @6 :Load;
  intervalMs @7 :UInt32;
  unlistedServers @8 :List(Text);
  linkKbps @9 :UInt32;
  acceptsAlive @10 :Bool;
  serverNumber @11 :UInt64;  # 0 in messages of earlier versions
  sentAtUs @12 :Int64;  # on the sender's clock; 0: sends no Confirm
  evacuations @13 :List(Evacuation);
  evacuationsKnown @14 :Bool;  # false in messages of earlier versions
  acceptsRecall @15 :Bool;
  acceptsLinkState @16 :Bool;
  acceptsNul @17 :Bool;
}

# The newest operator record on the evacuation of a failure domain.
struct Evacuation {
  domain @0 :Text;
  offset @1 :UInt64;  # of the record in the operator's topic
  active @2 :Bool;
}

# A heartbeat of an instance whose Hello is still valid but for these fields.
# Sent only to peers that accept it.
struct Alive {
  load @0 :Load;
  intervalMs @1 :UInt32;
  sentAtMs @2 :UInt32;  # low bits of the time in milliseconds
}

# The sender was alive at this time on the receiver's clock, and had handled
# what reached it before. Sent only to peers whose Hello has sentAtUs.
struct Confirm {
  aliveAtUs @0 :Int64;
}

struct Load {
  totalCpu @0 :UInt64;
  freeCpu @1 :UInt64;
  waitingCpu @2 :UInt64;
  meanRunMs @3 :Float64;
  waitingByPriority @4 :List(PriorityDemand);
  largestFreeCpu @5 :UInt64;  # on one server; 0 in messages of earlier versions
}

struct PriorityDemand {
  priority @0 :UInt32;
  cpu @1 :UInt64;
}

# Asks a holder to give a job back as refused. Has no effect once a task of it
# has started. Sent only to peers that accept it.
struct Recall {
  id @0 :Text;
  ticket @1 :UInt64;  # of the sender
}

struct Step {
  count @0 :UInt32;
  cpu @1 :UInt32;
  memoryMb @2 :UInt32;
  gpu @3 :UInt32;
  estimateMs @4 :UInt32;
  after @5 :List(UInt32);
  label @6 :Text;
  dataRack @7 :Text;
  mostPerServer @8 :UInt32;
}

struct Submit {
  ticket @0 :UInt64;
  id @1 :Text;
  payload @2 :Text;
  steps @3 :List(Step);
  service @4 :Text;
  priority @5 :UInt32;
  maxAttempts @6 :UInt32;
  stretch @7 :Float64;
  targetMs @8 :UInt32;
  timeLeftMs @9 :UInt32;
  waitedMs @10 :UInt32;
  seenServerNumber @11 :UInt64;  # 0 in messages of earlier versions
}

struct Result {
  ticket @0 :UInt64;
  outcome @1 :UInt16;
  reason @2 :Text;
  retryAfterMs @3 :UInt32;
  load @4 :Load;
}

struct Cancel {
  id @0 :Text;
  reason @1 :Text;
  ticket @2 :UInt64;  # of the sender; 0: every attempt
}

struct Release {
  servers @0 :List(Text);
}

# Confirms the server number of the last Hello. Sent only to peers that send
# one.
struct Seen {
  serverNumber @0 :UInt64;
}

# The links that the sender has open to the receiver, by the sender's numbers.
# Sent only to peers that accept it.
struct LinkState {
  link @0 :UInt64;  # that carries this message
  openLinks @1 :List(UInt64);
  newestLink @2 :UInt64;
}

struct Message {
  union {
    hello @0 :Hello;
    submit @1 :Submit;
    result @2 :Result;
    cancel @3 :Cancel;
    release @4 :Release;
    alive @5 :Alive;
    seen @6 :Seen;
    confirm @7 :Confirm;
    recall @8 :Recall;
    linkState @9 :LinkState;
  }
}
