#include <boost/test/unit_test.hpp>

#include "calls/CallsInternal.h"

#include <fstream>
#include <set>
#include <sstream>

using namespace pimento;
using namespace pimento::calls;

namespace {

std::string rowText(const Transition &Row) {
  std::ostringstream OS;
  OS << "| " << toString(Row.From) << " | " << toString(Row.On) << " | "
     << Row.Name << " | " << Row.Next << " | " << Row.Effects << " |";
  return OS.str();
}

/// The rows of the transition table in docs/design/calls.md.
std::vector<std::string> rowsOfPage() {
  std::ifstream Page(PIMENTO_SOURCE_DIR "/docs/design/calls.md");
  std::vector<std::string> Rows;
  bool InTable = false;
  for (std::string Line; std::getline(Page, Line);) {
    if (Line.rfind("| Phase | Event |", 0) == 0)
      InTable = true;
    else if (InTable && Line.rfind("| ---", 0) != 0 && !Line.empty())
      Rows.push_back(Line);
    else if (Line.empty())
      InTable = false;
  }
  return Rows;
}

} // namespace

BOOST_AUTO_TEST_CASE(TransitionRowsMatchThePage) {
  std::vector<std::string> Page = rowsOfPage();
  BOOST_REQUIRE(Page.size() == PhaseCount * EventCount);
  std::size_t At = 0;
  for (std::size_t P = 0; P < PhaseCount; ++P) {
    for (std::size_t E = 0; E < EventCount; ++E) {
      const Transition &Row =
          transition(static_cast<Phase>(P), static_cast<EventKind>(E));
      BOOST_TEST((Row.Run != nullptr));
      BOOST_TEST((Row.From == static_cast<Phase>(P)));
      BOOST_TEST((Row.On == static_cast<EventKind>(E)));
      BOOST_TEST(rowText(Row) == Page[At++]);
    }
  }
}

BOOST_AUTO_TEST_CASE(EveryPhaseCanReachEnded) {
  // Each phase can reach Ended. Deadline, CallerLeft and Cut are not ignored in
  // any phase in which they must end the work.
  for (std::size_t P = 0; P < PhaseCount; ++P) {
    auto From = static_cast<Phase>(P);
    std::set<Phase> Reached = {From};
    bool Changed = true;
    while (Changed) {
      Changed = false;
      for (std::size_t E = 0; E < EventCount; ++E) {
        for (std::size_t N = 0; N <= PhaseCount; ++N) {
          for (Phase At : std::set<Phase>(Reached)) {
            if (At != Phase::Ended &&
                allows(transition(At, static_cast<EventKind>(E)),
                       static_cast<Phase>(N)))
              Changed = Reached.insert(static_cast<Phase>(N)).second || Changed;
          }
        }
      }
    }
    BOOST_TEST(Reached.count(Phase::Ended) == 1U);
    BOOST_TEST(
        (transition(From, EventKind::Cut).Name != std::string("ignore")));
    BOOST_TEST(
        (From == Phase::Delivering ||
         transition(From, EventKind::Deadline).Name != std::string("ignore")));
    BOOST_TEST((From == Phase::Settling ||
                transition(From, EventKind::CallerLeft).Name !=
                    std::string("ignore")));
  }
}
