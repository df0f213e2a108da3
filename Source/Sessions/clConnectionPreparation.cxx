#include "clConnectionPreparation.h"

namespace catkinloom {

std::size_t
AppendPreparation(std::string& aOut,
                  const statement_codec& aCodec,
                  const connection_preparation& aPlan)
{
  std::size_t count = aPlan.mSetValues.size();
  if (aPlan.mReset) {
    aCodec.AppendReset(aOut);
    ++count;
  }
  for (const auto& [name, value] : aPlan.mSetValues) {
    aCodec.AppendSetValue(aOut, name, value);
  }
  if (!aPlan.mPrepareName.empty()) {
    aCodec.AppendPrepare(
      aOut, aPlan.mPrepareName, aPlan.mPrepare.mMode, aPlan.mPrepare.mShape);
    ++count;
  }
  return count;
}

} // namespace catkinloom
