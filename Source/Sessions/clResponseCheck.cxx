#include "clResponseCheck.h"

#include <functional>

namespace catkinloom {

namespace {

bool
IsSigned(const received_response& aResponse)
{
  return !aResponse.mError && !aResponse.mText.empty();
}

response_verdict
CheckUnsigned(const received_response& aResponse,
              const expected_response& aExpected)
{
  const bool isAcknowledgement = aResponse.mRows == 0;
  switch (aExpected.mKind) {
    case response_kind::Acknowledgement:
      return isAcknowledgement &&
                 aExpected.mPhase.value_or(aResponse.mPhase) == aResponse.mPhase
               ? response_verdict::Accepted
               : response_verdict::OutOfStep;
    case response_kind::Status:
      return isAcknowledgement      ? response_verdict::Foreign
             : aResponse.mRows == 1 ? response_verdict::Accepted
                                    : response_verdict::OutOfStep;
    case response_kind::Signed:
      return response_verdict::Foreign;
    case response_kind::Opened:
      break;
  }
  return response_verdict::OutOfStep;
}

} // namespace

bool
response_check::Remember(const std::string& aText)
{
  return !mReceived.insert(std::hash<std::string>{}(aText)).second;
}

response_verdict
response_check::Check(const received_response& aResponse,
                      const expected_response& aExpected)
{
  const bool isRepeated = !aResponse.mText.empty() && Remember(aResponse.mText);
  if (aResponse.mError) {
    mHasReceivedError = true;
    return isRepeated ? response_verdict::UnconfirmedError
                      : response_verdict::Error;
  }
  if (!aResponse.mHasResult) {
    const bool isOpening = aExpected.mKind == response_kind::Opened;
    return aResponse.mRows > 0 ? response_verdict::OutOfStep
           : isOpening         ? response_verdict::Accepted
                               : response_verdict::Foreign;
  }
  if (isRepeated) {
    return response_verdict::Foreign;
  }
  if (!IsSigned(aResponse)) {
    return CheckUnsigned(aResponse, aExpected);
  }
  const bool isExpected =
    aExpected.mKind == response_kind::Signed &&
    aExpected.mPhase.value_or(aResponse.mPhase) == aResponse.mPhase;
  return isExpected ? response_verdict::Accepted : response_verdict::OutOfStep;
}

bool
response_check::IsForeign(const received_response& aResponse) const
{
  if (aResponse.mText.empty()) {
    return aResponse.mHasResult || aResponse.mRows == 0;
  }
  return mReceived.contains(std::hash<std::string>{}(aResponse.mText));
}

} // namespace catkinloom
