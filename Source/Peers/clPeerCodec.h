#pragma once

#include "clPeer.capnp.h"
#include "clPeerMessages.h"

namespace catkinloom {

void
WriteHeartbeat(const peer_heartbeat& aFrom, wire::Heartbeat::Builder aInto);
peer_heartbeat
ReadHeartbeat(wire::Heartbeat::Reader aFrom);

void
WriteChange(const peer_manifest_change& aFrom,
            wire::ManifestChange::Builder aInto);
peer_manifest_change
ReadChange(wire::ManifestChange::Reader aFrom);

void
WriteRequest(const peer_request& aFrom, wire::ForwardedRequest::Builder aInto);
peer_request
ReadRequest(wire::ForwardedRequest::Reader aFrom);

void
WriteAnswer(const peer_answer& aFrom, wire::ForwardedAnswer::Builder aInto);
peer_answer
ReadAnswer(wire::ForwardedAnswer::Reader aFrom);

} // namespace catkinloom
