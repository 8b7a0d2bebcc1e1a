//===- Node.h - The one reducer of a host -----------------------*- C++ -*-===//
#pragma once

#include "base/Settings.h"
#include "node/Events.h"

namespace pimento {

struct NodeState {
  Settings Config;
  Incarnation Life = 0;
};

NodeState makeNode(const Settings &S, Incarnation Life, std::uint64_t Seed,
                   TimePoint Now);

Effects reduce(NodeState &S, const Event &E, TimePoint Now);

} // namespace pimento
