#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <string>

namespace catkinloom {

/// A counter of a family; a family that is there already is used again.
prometheus::Counter&
AddCounter(prometheus::Registry& aRegistry,
           const std::string& aName,
           const std::string& aHelp,
           const prometheus::Labels& aLabels = {});

/// A gauge without labels.
prometheus::Gauge&
AddGauge(prometheus::Registry& aRegistry,
         const std::string& aName,
         const std::string& aHelp);

/// Every figure of a registry in the text format of Prometheus.
std::string
SerializeMetrics(const prometheus::Registry& aRegistry);

} // namespace catkinloom
