#pragma once

#include "clPeer.capnp.h"
#include "clPeerMessages.h"

namespace catkinloom {

// Conversions between the peer message structures and their Cap'n Proto form.

void
WriteHeartbeat(const peer_heartbeat& aSource,
               wire::Heartbeat::Builder aBuilder);
peer_heartbeat
ReadHeartbeat(wire::Heartbeat::Reader aSource);

void
WriteManifestChange(const peer_manifest_change& aSource,
                    wire::ManifestChange::Builder aBuilder);
peer_manifest_change
ReadManifestChange(wire::ManifestChange::Reader aSource);

void
WriteForwardedRequest(const peer_request& aSource,
                      wire::ForwardedRequest::Builder aBuilder);
peer_request
ReadForwardedRequest(wire::ForwardedRequest::Reader aSource);

void
WriteForwardedAnswer(const peer_answer& aSource,
                     wire::ForwardedAnswer::Builder aBuilder);
peer_answer
ReadForwardedAnswer(wire::ForwardedAnswer::Reader aSource);

} // namespace catkinloom
