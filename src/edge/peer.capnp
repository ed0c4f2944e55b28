@0xb7d1f0a54c2e6f31;
# Messages between daemons.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("endivetrestle::rpc");

struct Position {
  term @0 :UInt64;
  index @1 :UInt64;
}

# A caller's request, forwarded to an owner of its database.
struct ForwardRequest {
  id @0 :Text;
  caller @1 :Text;
  database @2 :Text;
  kind @3 :UInt8;
  priority @4 :UInt8;
  repeatable @5 :Bool;
  statement @6 :Text;
  # Largest accepted age in microseconds; -1 if the age is not bounded.
  maxAgeUs @7 :Int64;
  minPosition @8 :Position;
  requiresPrimary @9 :Bool;
  # Time left until the caller's deadline, in microseconds. Clocks of daemons are not compared.
  remainingUs @10 :Int64;
  transaction @11 :Text;
}

struct ForwardOutcome {
  state @0 :UInt8;
  # Stable error name; empty for none.
  code @1 :Text;
  rows @2 :Text;
  position @3 :Position;
  servedBy @4 :Text;
  servedByReplica @5 :Bool;
  transaction @6 :Text;
  retryAfterUs @7 :Int64;
  detail @8 :Text;
  # Echo of ForwardRequest.id, checked by the sender.
  id @9 :Text;
}

# What the daemon knows of one endpoint of a database.
struct Opinion {
  # Time since the last answer from the endpoint in microseconds; -1 if there never was one.
  sinceContactUs @0 :Int64;
  # Highest term known for the database.
  term @1 :UInt64;
}

interface Peer {
  forward @0 (request :ForwardRequest) -> (outcome :ForwardOutcome);
  # Digest and delta as one JSON text, bounded by the gossip module.
  gossip @1 (message :Text) -> (message :Text);
  opinion @2 (database :Text, endpoint :Text) -> (opinion :Opinion);
  fetchConfiguration @3 (atLeast :UInt64) -> (version :UInt64, body :Text);
}

# First interface of a connection. A login proves knowledge of the fleet key: mac is the hexadecimal HMAC-SHA-256 of
# "daemon:nonce".
interface Gate {
  challenge @0 () -> (nonce :Text);
  login @1 (daemon :Text, mac :Text) -> (peer :Peer);
}
