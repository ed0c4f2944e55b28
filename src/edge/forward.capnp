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
  }
}
