#include "clPeerCodec.h"

namespace catkinloom {

namespace {

std::string
ToText(capnp::Text::Reader aText)
{
  return { aText.cStr(), aText.size() };
}

std::string
ToBytes(capnp::Data::Reader aData)
{
  return { reinterpret_cast<const char*>(aData.begin()), aData.size() };
}

capnp::Data::Reader
ToDataReader(const std::string& aText)
{
  return { reinterpret_cast<const kj::byte*>(aText.data()), aText.size() };
}

} // namespace

void
WriteHeartbeat(const peer_heartbeat& aSource, wire::Heartbeat::Builder aBuilder)
{
  aBuilder.setSchemaVersion(aSource.mSchemaVersion);
  aBuilder.setSender(aSource.mSender);
  aBuilder.setIdentity(aSource.mIdentity);
  aBuilder.setManifestVersion(aSource.mManifestVersion);
  aBuilder.setDraining(aSource.mDraining);
}

peer_heartbeat
ReadHeartbeat(wire::Heartbeat::Reader aSource)
{
  return { aSource.getSchemaVersion(),
           ToText(aSource.getSender()),
           ToText(aSource.getIdentity()),
           aSource.getManifestVersion(),
           aSource.getDraining() };
}

void
WriteManifestChange(const peer_manifest_change& aSource,
                    wire::ManifestChange::Builder aBuilder)
{
  aBuilder.setHead(aSource.mHead);
  auto buckets =
    aBuilder.initBuckets(static_cast<unsigned>(aSource.mBuckets.size()));
  unsigned i = 0;
  for (const auto& [number, text] : aSource.mBuckets) {
    buckets[i].setNumber(number);
    buckets[i].setText(text);
    ++i;
  }
}

peer_manifest_change
ReadManifestChange(wire::ManifestChange::Reader aSource)
{
  peer_manifest_change change;
  change.mHead = ToText(aSource.getHead());
  for (const auto bucket : aSource.getBuckets()) {
    change.mBuckets[bucket.getNumber()] = ToText(bucket.getText());
  }
  return change;
}

void
WriteForwardedRequest(const peer_request& aSource,
                      wire::ForwardedRequest::Builder aBuilder)
{
  aBuilder.setGroup(aSource.mGroup);
  aBuilder.setRequest(aSource.mRequest);
  aBuilder.setSession(aSource.mSession);
  aBuilder.setIdempotencyKey(aSource.mIdempotencyKey);
  aBuilder.setCaller(aSource.mCaller);
  aBuilder.setDeadlineMs(aSource.mDeadlineMs);
  aBuilder.setBody(ToDataReader(aSource.mBody));
}

peer_request
ReadForwardedRequest(wire::ForwardedRequest::Reader aSource)
{
  return { ToText(aSource.getGroup()),   ToText(aSource.getRequest()),
           ToText(aSource.getSession()), ToText(aSource.getIdempotencyKey()),
           ToText(aSource.getCaller()),  aSource.getDeadlineMs(),
           ToBytes(aSource.getBody()) };
}

void
WriteForwardedAnswer(const peer_answer& aSource,
                     wire::ForwardedAnswer::Builder aBuilder)
{
  aBuilder.setStatus(aSource.mStatus);
  aBuilder.setBody(ToDataReader(aSource.mBody));
  aBuilder.setSession(aSource.mSession);
  aBuilder.setOutcome(aSource.mOutcome);
  aBuilder.setError(aSource.mError);
  aBuilder.setUpstream(aSource.mUpstream);
}

peer_answer
ReadForwardedAnswer(wire::ForwardedAnswer::Reader aSource)
{
  return { aSource.getStatus(),          ToBytes(aSource.getBody()),
           ToText(aSource.getSession()), ToText(aSource.getOutcome()),
           ToText(aSource.getError()),   ToText(aSource.getUpstream()) };
}

} // namespace catkinloom
