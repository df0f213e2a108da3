#include "clConnectionPreparation.h"

namespace catkinloom {

std::size_t
AppendPreparation(statement_batch& aBatch,
                  const statement_codec& aCodec,
                  const connection_preparation& aPlan,
                  session_phase aPhase)
{
  const std::size_t before = aBatch.mExpected.size();
  const expected_response expected{ response_kind::Acknowledgement, aPhase };
  if (aPlan.mReset) {
    aBatch.Add(expected, [&](std::string& aOut) { aCodec.AppendReset(aOut); });
  }
  for (const auto& value : aPlan.mSetValues) {
    aBatch.Add(expected, [&](std::string& aOut) {
      aCodec.AppendSetValue(aOut, value.first, value.second);
    });
  }
  if (!aPlan.mPrepareName.empty()) {
    aBatch.Add(expected, [&](std::string& aOut) {
      aCodec.AppendPrepare(
        aOut, aPlan.mPrepareName, aPlan.mPrepare.mMode, aPlan.mPrepare.mShape);
    });
  }
  return aBatch.mExpected.size() - before;
}

} // namespace catkinloom
