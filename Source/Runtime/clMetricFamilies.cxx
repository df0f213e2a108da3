#include "clMetricFamilies.h"

#include <prometheus/text_serializer.h>

namespace catkinloom {

prometheus::Counter&
AddCounter(prometheus::Registry& aRegistry,
           const std::string& aName,
           const std::string& aHelp,
           const prometheus::Labels& aLabels)
{
  return prometheus::BuildCounter()
    .Name(aName)
    .Help(aHelp)
    .Register(aRegistry)
    .Add(aLabels);
}

prometheus::Gauge&
AddGauge(prometheus::Registry& aRegistry,
         const std::string& aName,
         const std::string& aHelp)
{
  return prometheus::BuildGauge()
    .Name(aName)
    .Help(aHelp)
    .Register(aRegistry)
    .Add({});
}

std::string
SerializeMetrics(const prometheus::Registry& aRegistry)
{
  return prometheus::TextSerializer().Serialize(aRegistry.Collect());
}

} // namespace catkinloom
