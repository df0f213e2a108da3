@0xd3a94c2f7be1805a;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("catkinloom::wire");

# Messages between daemons.  Fields are never renumbered or reused.  A daemon
# ignores unknown fields and uses the default for fields that an older daemon
# does not send.

struct Heartbeat {
  schemaVersion @0 :UInt16;
  # Version of this schema that the sender uses.
  sender @1 :Text;
  # Name of the sending daemon.
  identity @2 :Text;
  # Identifies the sender's process; differs after each restart.
  manifestVersion @3 :UInt64;
  # Version of the manifest that the sender applies.
  draining @4 :Bool;
  # The sender is shutting down and accepts no new requests.
}

struct Bucket {
  number @0 :UInt32;
  text @1 :Text;
}

struct ManifestChange {
  head @0 :Text;
  # Encoded manifest head; empty when the sender has none.
  buckets @1 :List(Bucket);
  # Buckets whose digests were not in the request.
}

struct ForwardedRequest {
  group @0 :Text;
  request @1 :Text;
  session @2 :Text;
  idempotencyKey @3 :Text;
  caller @4 :Text;
  deadlineMs @5 :UInt32;
  body @6 :Data;
}

struct ForwardedAnswer {
  status @0 :UInt16;
  body @1 :Data;
  session @2 :Text;
  outcome @3 :Text;
  error @4 :Text;
  upstream @5 :Text;
}

interface Peer {
  beat @0 (heartbeat :Heartbeat) -> (heartbeat :Heartbeat);
  # Exchanges the state of both sides.

  fetchManifest @1 (digests :List(Text)) -> (change :ManifestChange);
  # Returns the buckets of the applied manifest whose digests are not listed.

  forward @2 (request :ForwardedRequest) -> (answer :ForwardedAnswer);
  # Runs a caller's request on a daemon that serves its group.
}
