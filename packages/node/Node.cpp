#include "node/Node.h"

namespace pimento {

NodeState makeNode(const Settings &S, Incarnation Life, std::uint64_t,
                   TimePoint) {
  return {S, Life};
}

Effects reduce(NodeState &, const Event &E, TimePoint) {
  if (std::holds_alternative<StopRequested>(E))
    return {Exit{0}};
  return {};
}

} // namespace pimento
