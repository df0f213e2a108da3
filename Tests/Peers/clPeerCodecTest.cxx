#include "clPeerCodec.h"

#include <capnp/message.h>
#include <doctest/doctest.h>

using namespace catkinloom;

TEST_CASE("heartbeat_round_trip_preserves_fields")
{
  capnp::MallocMessageBuilder message;
  WriteHeartbeat({ 1, "proxy-1", "proxy-1-abc", 7, true },
                 message.initRoot<wire::Heartbeat>());
  const peer_heartbeat read =
    ReadHeartbeat(message.getRoot<wire::Heartbeat>().asReader());
  CHECK(read.mSender == "proxy-1");
  CHECK(read.mIdentity == "proxy-1-abc");
  CHECK(read.mManifestVersion == 7);
  CHECK(read.mDraining);
}

TEST_CASE("heartbeat_of_older_daemon_decodes_with_defaults")
{
  // An older daemon does not send fields added later; they decode to defaults.
  capnp::MallocMessageBuilder message;
  auto builder = message.initRoot<wire::Heartbeat>();
  builder.setSchemaVersion(kPeerSchemaVersion - 1);
  builder.setSender("proxy-1");
  const peer_heartbeat read = ReadHeartbeat(builder.asReader());
  CHECK(read.mSchemaVersion == kPeerSchemaVersion - 1);
  CHECK(read.mManifestVersion == 0);
  CHECK_FALSE(read.mDraining);
}

TEST_CASE("forwarded_request_round_trip_preserves_body_bytes")
{
  capnp::MallocMessageBuilder message;
  const std::string body("a\0b\xff", 4);
  WriteForwardedRequest({ "g", "r", "s", "k", "c", 250, body },
                        message.initRoot<wire::ForwardedRequest>());
  const peer_request read =
    ReadForwardedRequest(message.getRoot<wire::ForwardedRequest>().asReader());
  CHECK(read.mBody == body);
  CHECK(read.mDeadlineMs == 250);
  CHECK(read.mIdempotencyKey == "k");
}
