#include "clManifest.h"

namespace catkinloom {

std::string_view
PolicyName(acknowledge_policy aPolicy)
{
  return aPolicy == acknowledge_policy::Confirmed ? "confirmed" : "primary";
}

std::string_view
KindName(request_kind aKind)
{
  return aKind == request_kind::Read ? "read" : "write";
}

} // namespace catkinloom
