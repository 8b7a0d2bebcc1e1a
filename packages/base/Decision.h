//===- Decision.h - Records of decisions and measurements -------*- C++ -*-===//
//
// Reducers (the state machines of a host, which do no I/O) return these
// records. The shell (the code around them that does the I/O) writes each
// decision as one JSON log line and adds each sample to a metric.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Codes.h"
#include "base/Ids.h"

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace pimento {

/// One named value of a decision record.
struct DecisionField {
  const char *Name = "";
  std::variant<std::int64_t, double, bool, std::string> Value;
};

/// One routing, placement or control decision and the values that it was based
/// on. A record never contains bearer tokens or prompts.
struct DecisionRecord {
  const char *Kind = ""; // Such as "grant", "refuse", "retry", "elect".
  RequestId Request;     // Empty: the decision concerns no single request.
  std::string Reason;    // Short reason for the decision.
  std::vector<DecisionField> Fields;

  DecisionRecord &add(const char *Name, std::int64_t Value) {
    Fields.push_back({Name, Value});
    return *this;
  }
  DecisionRecord &add(const char *Name, double Value) {
    Fields.push_back({Name, Value});
    return *this;
  }
  DecisionRecord &add(const char *Name, bool Value) {
    Fields.push_back({Name, Value});
    return *this;
  }
  DecisionRecord &add(const char *Name, std::string Value) {
    Fields.push_back({Name, std::move(Value)});
    return *this;
  }
};

/// How samples of one metric are combined: a counter adds them up, a gauge
/// keeps the latest, and a distribution reports quantiles.
enum class SampleKind : std::uint8_t { Counter, Gauge, Distribution };

/// One measurement. \p Name is a Prometheus name with its unit as suffix.
struct MetricSample {
  SampleKind Kind = SampleKind::Counter;
  const char *Name = "";
  std::string Label; // Prometheus label as `key="value"`; empty: none.
  double Value = 1;
};

} // namespace pimento
