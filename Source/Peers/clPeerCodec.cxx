#include "clPeerCodec.h"

namespace catkinloom {

namespace {

std::string
TextOf(capnp::Text::Reader aText)
{
  return { aText.cStr(), aText.size() };
}

std::string
BytesOf(capnp::Data::Reader aData)
{
  return { reinterpret_cast<const char*>(aData.begin()), aData.size() };
}

capnp::Data::Reader
DataOf(const std::string& aText)
{
  return { reinterpret_cast<const kj::byte*>(aText.data()), aText.size() };
}

} // namespace

void
WriteHeartbeat(const peer_heartbeat& aFrom, wire::Heartbeat::Builder aInto)
{
  aInto.setSchemaVersion(aFrom.mSchemaVersion);
  aInto.setSender(aFrom.mSender);
  aInto.setIdentity(aFrom.mIdentity);
  aInto.setManifestVersion(aFrom.mManifestVersion);
  aInto.setDraining(aFrom.mDraining);
}

peer_heartbeat
ReadHeartbeat(wire::Heartbeat::Reader aFrom)
{
  return { aFrom.getSchemaVersion(),
           TextOf(aFrom.getSender()),
           TextOf(aFrom.getIdentity()),
           aFrom.getManifestVersion(),
           aFrom.getDraining() };
}

void
WriteChange(const peer_manifest_change& aFrom,
            wire::ManifestChange::Builder aInto)
{
  aInto.setHead(aFrom.mHead);
  auto buckets =
    aInto.initBuckets(static_cast<unsigned>(aFrom.mBuckets.size()));
  unsigned i = 0;
  for (const auto& [number, text] : aFrom.mBuckets) {
    buckets[i].setNumber(number);
    buckets[i].setText(text);
    ++i;
  }
}

peer_manifest_change
ReadChange(wire::ManifestChange::Reader aFrom)
{
  peer_manifest_change change;
  change.mHead = TextOf(aFrom.getHead());
  for (const auto bucket : aFrom.getBuckets()) {
    change.mBuckets[bucket.getNumber()] = TextOf(bucket.getText());
  }
  return change;
}

void
WriteRequest(const peer_request& aFrom, wire::ForwardedRequest::Builder aInto)
{
  aInto.setGroup(aFrom.mGroup);
  aInto.setRequest(aFrom.mRequest);
  aInto.setSession(aFrom.mSession);
  aInto.setIdempotencyKey(aFrom.mIdempotencyKey);
  aInto.setCaller(aFrom.mCaller);
  aInto.setDeadlineMs(aFrom.mDeadlineMs);
  aInto.setBody(DataOf(aFrom.mBody));
}

peer_request
ReadRequest(wire::ForwardedRequest::Reader aFrom)
{
  return { TextOf(aFrom.getGroup()),   TextOf(aFrom.getRequest()),
           TextOf(aFrom.getSession()), TextOf(aFrom.getIdempotencyKey()),
           TextOf(aFrom.getCaller()),  aFrom.getDeadlineMs(),
           BytesOf(aFrom.getBody()) };
}

void
WriteAnswer(const peer_answer& aFrom, wire::ForwardedAnswer::Builder aInto)
{
  aInto.setStatus(aFrom.mStatus);
  aInto.setBody(DataOf(aFrom.mBody));
  aInto.setSession(aFrom.mSession);
  aInto.setOutcome(aFrom.mOutcome);
  aInto.setError(aFrom.mError);
  aInto.setUpstream(aFrom.mUpstream);
}

peer_answer
ReadAnswer(wire::ForwardedAnswer::Reader aFrom)
{
  return { aFrom.getStatus(),          BytesOf(aFrom.getBody()),
           TextOf(aFrom.getSession()), TextOf(aFrom.getOutcome()),
           TextOf(aFrom.getError()),   TextOf(aFrom.getUpstream()) };
}

} // namespace catkinloom
