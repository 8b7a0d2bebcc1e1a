#include "calls/CallsInternal.h"

#include <algorithm>
#include <array>

namespace pimento::calls {

namespace {

constexpr std::array<const char *, PhaseCount + 1> PhaseNames = {
    "Asking",   "Reserving", "Generating", "Resuming",   "BackingOff",
    "Claiming", "Calling",   "Settling",   "Delivering", "Ended"};

constexpr std::array<const char *, EventCount> EventNames = {
    "CallerLeft", "Drained",  "Granted", "Refused", "ClaimReplied",
    "Sent",       "Head",     "Data",    "End",     "Failed",
    "Wake",       "Deadline", "Cut"};

constexpr std::array<Transition, PhaseCount *EventCount> Table = {{
#define PIMENTO_ROW(From, On, Run, Next, Effects)                              \
  {Phase::From, EventKind::On, Run, #Run, Next, Effects},
#include "calls/Transitions.def"
#undef PIMENTO_ROW
}};

constexpr std::size_t rowIndex(Phase From, EventKind On) {
  return static_cast<std::size_t>(From) * EventCount +
         static_cast<std::size_t>(On);
}

/// Whether the table has one row for each phase and event, in their order.
constexpr bool isComplete() {
  for (std::size_t I = 0; I < Table.size(); ++I) {
    if (rowIndex(Table[I].From, Table[I].On) != I)
      return false;
  }
  return true;
}
static_assert(isComplete(), "a pair of phase and event has no row");

void remove(Context &C, Request &R) {
  setHeldBytes(C, R, 0);
  abortUpstream(C, R);
  dropKept(C, R);
  dropLateCalls(C, R);
  C.S.Timers.erase({R.Indexed, R.Id});
  C.S.Exchanges.erase(static_cast<std::uint64_t>(R.Exchange));
  C.S.Requests.erase(R.Id);
}

} // namespace

const char *toString(Phase P) {
  return PhaseNames[static_cast<std::size_t>(P)];
}

const char *toString(EventKind E) {
  return EventNames[static_cast<std::size_t>(E)];
}

const Transition &transition(Phase From, EventKind On) {
  return Table[rowIndex(From, On)];
}

bool allows(const Transition &Row, Phase Next) {
  std::string_view Rest = Row.Next;
  while (!Rest.empty()) {
    std::size_t End = Rest.find(' ');
    std::string_view Word = Rest.substr(0, End);
    if (Word == toString(Next) || (Word == "-" && Next == Row.From))
      return true;
    Rest = End == std::string_view::npos ? "" : Rest.substr(End + 1);
  }
  return false;
}

void reindex(Context &C, Request &R) {
  TimePoint Next = std::min({R.Wake, R.Deadline, nextKeptWork(R)});
  if (Next == R.Indexed)
    return;
  C.S.Timers.erase({R.Indexed, R.Id});
  R.Indexed = Next;
  C.S.Timers.insert({Next, R.Id});
}

void dispatch(Context &C, const RequestId &Id, const Event &E) {
  auto Found = C.S.Requests.find(Id);
  if (Found == C.S.Requests.end())
    return;
  Request &R = Found->second;
  const Transition &Row = transition(R.State, E.Kind);
  Row.Run(C, R, E);
  if (!allows(Row, R.State)) {
    decide(C, "unexpected_transition", Id, Row.Name)
        .add("from", std::string(toString(Row.From)))
        .add("to", std::string(toString(R.State)));
    count(C, "pimento_unexpected_transitions_total");
  }
  if (R.State == Phase::Ended) {
    remove(C, R);
    return;
  }
  setHeldBytes(C, R, bufferedBytes(R) + R.Pending);
  reindex(C, R);
}

} // namespace pimento::calls
