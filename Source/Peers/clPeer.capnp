@0xd3a94c2f7be1805a;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("catkinloom::wire");

# Messages between daemons.  A field is never renumbered or reused; a daemon
# ignores fields that it does not know and takes the default of those that an
# older daemon does not send.

struct Heartbeat {
  schemaVersion @0 :UInt16;
  # Version of this schema that the sender speaks.
  sender @1 :Text;
  # Name of the sending daemon.
  identity @2 :Text;
  # Names the sender's process start.
  manifestVersion @3 :UInt64;
  # Version in force at the sender.
  draining @4 :Bool;
  # The sender shuts down and takes no new requests.
}

struct Bucket {
  number @0 :UInt32;
  text @1 :Text;
}

struct ManifestChange {
  head @0 :Text;
  # Encoded manifest head; empty when the sender has none.
  buckets @1 :List(Bucket);
  # Parts whose digests the asker did not have.
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
  # Each side learns the other's state.

  fetchManifest @1 (digests :List(Text)) -> (change :ManifestChange);
  # The parts of the manifest in force whose digests are not in the list.

  forward @2 (request :ForwardedRequest) -> (answer :ForwardedAnswer);
  # Runs a caller's request at a daemon that serves its group.
}
