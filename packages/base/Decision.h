//===- Decision.h - Records of decisions and measurements -------*- C++ -*-===//
//
// A reducer writes no log and keeps no metric itself: it returns these records
// and the shell turns each decision into one JSON line and each sample into a
// metric.
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

/// One named number, flag or text of a decision.
struct DecisionField {
  const char *Name = "";
  std::variant<std::int64_t, double, bool, std::string> Value;
};

/// One routing, placement or control decision, with the numbers it was made
/// from. Tokens and prompts never appear in it.
struct DecisionRecord {
  const char *Kind = ""; // Such as "grant", "refuse", "retry", "elect".
  RequestId Request;     // Empty: not about one request.
  std::string Reason;    // Why this and not another, in a few words.
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

/// Counters only go up; gauges take the newest value; distributions keep
/// quantiles.
enum class SampleKind : std::uint8_t { Counter, Gauge, Distribution };

/// One measurement. \p Name is a Prometheus name with its unit as suffix.
struct MetricSample {
  SampleKind Kind = SampleKind::Counter;
  const char *Name = "";
  std::string Label; // `key="value"`, or empty.
  double Value = 1;
};

} // namespace pimento
