@0xd0a41f3c9b7e2586;
# Messages on the links over which daemons forward statements to the owners of a group. Each message is one frame.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("endivetrestle::wire");

struct LogPosition {
  term @0 :UInt64;
  index @1 :UInt64;
}

struct SessionValue {
  name @0 :Text;
  value @1 :Text;
}

struct Statement {
  number @0 :UInt64;
  group @1 :Text;
  # Number that the owner gave to the open transaction; 0 if there is none.
  connection @2 :UInt64;
  kind @3 :UInt8;
  id @4 :Text;
  text @5 :Text;
  name @6 :Text;
  argument @7 :Text;
  # Empty if the statement does not execute a prepared one.
  preparedShape @8 :Text;
  preparedWrites @9 :Bool;
  values @10 :List(SessionValue);
  start @11 :UInt8;
  needsPrimary @12 :Bool;
  maxStalenessUs @13 :Int64;
  # Time left, since clocks of daemons are not compared.
  remainingUs @14 :Int64;
  objectiveUs @15 :Int64;
  # Absent if reads need not see a write of the session.
  lastWrite @16 :LogPosition;
  priority @17 :Int32;
  # Empty if the endpoint runs the statement in no workspace's name.
  workspace @18 :Text;
}

struct Outcome {
  number @0 :UInt64;
  declined @1 :Bool;
  succeeded @2 :Bool;
  code @3 :UInt8;
  errorText @4 :Text;
  payload @5 :Data;
  phase @6 :UInt8;
  # Absent if the endpoint reported none.
  position @7 :LogPosition;
  reason @8 :Text;
  endpoint @9 :Text;
  # Number that the owner gives to the transaction that is open; 0 if there is none.
  connection @10 :UInt64;
  fromEndpoint @11 :Bool;
  attempts @12 :Int32;
}

struct End {
  group @0 :Text;
  connection @1 :UInt64;
}

struct QuotaAsk {
  workspace @0 :Text;
  waiting @1 :UInt32;
  ahead @2 :UInt32;
}

struct QuotaRequest {
  number @0 :UInt64;
  daemon @1 :Text;
  shards @2 :UInt32;
  shard @3 :UInt32;
  # Start and timestamp of the coordinator from its last answer; 0 if the sender does not support it.
  incarnation @4 :UInt64;
  stampUs @5 :Int64;
  daemons @6 :UInt32;
  asks @7 :List(QuotaAsk);
}

struct QuotaTokens {
  workspace @0 :Text;
  tokens @1 :UInt32;
  empty @2 :Bool;
}

struct QuotaGrant {
  number @0 :UInt64;
  shards @1 :UInt32;
  shard @2 :UInt32;
  incarnation @3 :UInt64;
  stampUs @4 :Int64;
  active @5 :Bool;
  # Empty if the sender knows no other coordinator that is active.
  coordinator @6 :Text;
  tokens @7 :List(QuotaTokens);
}

struct Message {
  union {
    statement @0 :Statement;
    outcome @1 :Outcome;
    end @2 :End;
    # Number of the statement whose client has left.
    abandon @3 :UInt64;
    ownerLeaving @4 :Void;
    probe @5 :Void;
    probeAnswer @6 :Void;
    quotaRequest @7 :QuotaRequest;
    quotaGrant @8 :QuotaGrant;
  }
}
