#include "clStoreKeys.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>

namespace catkinloom {

namespace json = boost::json;

std::string
EncodeFailoverRecord(const failover_record& aRecord)
{
  json::array possibleLeaders;
  for (const std::string& instance : aRecord.mPossibleLeaders) {
    possibleLeaders.emplace_back(instance);
  }
  const json::object body{
    { "contested", aRecord.mPhase == failover_phase::InProgress },
    { "commits_stopped", aRecord.mCommitsStopped },
    { "leader", aRecord.mLeader },
    { "floor_term", aRecord.mFloor.mTerm },
    { "floor_index", aRecord.mFloor.mIndex },
    { "confirmed_floor_term", aRecord.mConfirmedFloor.mTerm },
    { "confirmed_floor_index", aRecord.mConfirmedFloor.mIndex },
    { "holder", aRecord.mHolder },
    { "may_lead", std::move(possibleLeaders) },
    { "token", aRecord.mCommand.mToken },
    { "token_issuer", aRecord.mCommand.mIssuer },
    { "written_in", aRecord.mWrittenIn },
    { "supersedes_generation", aRecord.mSupersedes.mGeneration },
    { "supersedes_revision", aRecord.mSupersedes.mRevision },
  };
  return json::serialize(body);
}

namespace {

/// Returns 0 for a field that an older build did not write.
std::uint64_t
NumberOrZero(const json::object& aBody, json::string_view aName)
{
  const json::value* found = aBody.if_contains(aName);
  return found == nullptr ? 0 : found->to_number<std::uint64_t>();
}

} // namespace

result<failover_record>
DecodeFailoverRecord(std::string_view aValue)
{
  try {
    const json::value parsed = json::parse({ aValue.data(), aValue.size() });
    const json::object& body = parsed.as_object();
    failover_record record;
    record.mPhase = body.at("contested").as_bool() ? failover_phase::InProgress
                                                   : failover_phase::Complete;
    record.mCommitsStopped = body.at("commits_stopped").as_bool();
    record.mLeader = json::value_to<std::string>(body.at("leader"));
    record.mFloor.mTerm = body.at("floor_term").to_number<std::uint64_t>();
    record.mFloor.mIndex = body.at("floor_index").to_number<std::uint64_t>();
    record.mConfirmedFloor = { NumberOrZero(body, "confirmed_floor_term"),
                               NumberOrZero(body, "confirmed_floor_index") };
    if (record.mConfirmedFloor == log_position{}) {
      record.mConfirmedFloor = record.mFloor;
    }
    record.mHolder = json::value_to<std::string>(body.at("holder"));
    record.mCommand.mToken = NumberOrZero(body, "token");
    if (record.mCommand.mToken != 0) {
      record.mCommand.mIssuer =
        json::value_to<std::string>(body.at("token_issuer"));
    }
    record.mWrittenIn = NumberOrZero(body, "written_in");
    record.mSupersedes = { NumberOrZero(body, "supersedes_generation"),
                           NumberOrZero(body, "supersedes_revision") };
    for (const json::value& instance : body.at("may_lead").as_array()) {
      record.mPossibleLeaders.push_back(json::value_to<std::string>(instance));
    }
    return record;
  } catch (const std::exception& failure) {
    return error{ error_kind::BadManifest,
                  std::string("failover record is not valid: ") +
                    failure.what() };
  }
}

std::string
EncodeMembershipRecord(const membership_record& aRecord)
{
  json::array members;
  for (const instance_entry& member : aRecord.mMembers) {
    members.push_back(json::object{
      { "id", member.mId },
      { "address", member.mAddress },
      { "zone", member.mZone },
      { "slots", member.mSlots },
      { "started_at_ms", member.mStartedAt },
    });
  }
  const json::object body{
    { "members", std::move(members) },
    { "floor_term", aRecord.mFloor.mTerm },
    { "floor_index", aRecord.mFloor.mIndex },
  };
  return json::serialize(body);
}

result<membership_record>
DecodeMembershipRecord(const std::string& aService, std::string_view aValue)
{
  try {
    const json::value parsed = json::parse({ aValue.data(), aValue.size() });
    const json::object& body = parsed.as_object();
    membership_record record;
    record.mFloor.mTerm = body.at("floor_term").to_number<std::uint64_t>();
    record.mFloor.mIndex = body.at("floor_index").to_number<std::uint64_t>();
    for (const json::value& value : body.at("members").as_array()) {
      const json::object& fields = value.as_object();
      instance_entry member;
      member.mService = aService;
      member.mId = json::value_to<std::string>(fields.at("id"));
      member.mAddress = json::value_to<std::string>(fields.at("address"));
      member.mZone = json::value_to<std::string>(fields.at("zone"));
      member.mSlots = fields.at("slots").to_number<std::uint32_t>();
      member.mStartedAt = fields.at("started_at_ms").to_number<std::int64_t>();
      record.mMembers.push_back(std::move(member));
    }
    return record;
  } catch (const std::exception& failure) {
    return error{ error_kind::BadManifest,
                  std::string("membership record is not valid: ") +
                    failure.what() };
  }
}

} // namespace catkinloom
