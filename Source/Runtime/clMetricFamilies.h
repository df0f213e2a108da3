#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <string>

namespace catkinloom {

/// Adds a counter to the family of that name, which is created on first use.
prometheus::Counter&
AddCounter(prometheus::Registry& aRegistry,
           const std::string& aName,
           const std::string& aHelp,
           const prometheus::Labels& aLabels = {});

/// Adds a gauge without labels.
prometheus::Gauge&
AddGauge(prometheus::Registry& aRegistry,
         const std::string& aName,
         const std::string& aHelp);

/// Serializes all metrics of a registry in the Prometheus text format.
std::string
SerializeMetrics(const prometheus::Registry& aRegistry);

} // namespace catkinloom
