// Data centres whose backend servers get nothing more: operators' orders on
// their way through the log to the entry hosts, and the operators' view.

#include "control/ControlTurn.h"

#include "base/Json.h"
#include "base/Problem.h"
#include "wire/Fields.h"

#include <algorithm>

namespace pimento::control {

namespace {

constexpr std::string_view EvacuationsPath = "/v1/evacuations";
constexpr int Accepted = 200;
constexpr int Unknown = 503;
/// Limit of the data centres that are remembered.
constexpr std::size_t MaxRemembered = 1024;

std::string quoted(const DataCentreId &DataCentre) {
  return "\"" + DataCentre.Value + "\"";
}

/// Starts a decision record about an order.
DecisionRecord recordAbout(const char *Kind, std::string Reason,
                           const EvacuationOrder &Order) {
  DecisionRecord Record{Kind, {}, std::move(Reason), {}};
  Record.add("data_centre", Order.DataCentre.Value);
  Record.add("order", std::string(Order.Start ? "start" : "finish"));
  return Record;
}

/// Refuses an order that cannot be accepted. Returns false if it can.
bool refuseFaulty(ControlTurn &T, ExchangeId Exchange,
                  const EvacuationOrder &Order) {
  Code Number = Code::Ok;
  std::string Detail;
  switch (checkOrder(T.S.Evacuation, T.S.DataCentres, Order)) {
  case OrderFault::None:
    return false;
  case OrderFault::UnknownDataCentre:
    Number = Code::UnknownDataCentre;
    Detail = "no backend server or entry host has reported the data centre " +
             quoted(Order.DataCentre);
    break;
  case OrderFault::TooMany:
    Number = Code::BadRequest;
    Detail = "data centre " + quoted(Order.DataCentre) + ": " +
             std::to_string(MaxEvacuated) +
             " data centres, the limit, are evacuated already";
    break;
  }
  log(T, recordAbout("evacuation_refused", Detail, Order));
  refuse(T, Exchange, Number, std::move(Detail));
  return true;
}

/// The HTTP status of the answer; zero while the operator has to wait.
int statusOf(const ControlTurn &T, const PendingEvacuation &Order) {
  const ControlHost &S = T.S;
  OperatorTimeouts Timeouts = operatorTimeouts();
  if (Order.CommittedAt == TimePoint())
    return T.Now >= Order.RequestedAt + Timeouts.Commit ? Unknown : 0;
  // Entry hosts report to another host once it leads, so that this one does not
  // know any more what they have in force.
  bool IsInForce = isLeader(S, T.Now) && haveEntriesReported(S, T.Now) &&
                   hostsWithoutEvacuation(S, Order.Revision, T.Now).empty();
  if (IsInForce)
    return Accepted;
  return T.Now >= Order.CommittedAt + Timeouts.InForce ? Unknown : 0;
}

void logAnswer(ControlTurn &T, const PendingEvacuation &Order, int Status) {
  std::vector<HostId> Behind =
      hostsWithoutEvacuation(T.S, Order.Revision, T.Now);
  DecisionRecord Record = recordAbout(
      "evacuation_answered",
      Status == Accepted ? "in force at every host in contact"
                         : "not confirmed in time to be in force everywhere",
      Order.Order);
  Record.add("revision", static_cast<std::int64_t>(Order.Revision));
  Record.add("status", static_cast<std::int64_t>(Status));
  Record.add("waited_ms", toMilliseconds(T.Now - Order.RequestedAt));
  Record.add("hosts_behind", static_cast<std::int64_t>(Behind.size()));
  Record.add("first_behind", Behind.empty() ? "" : Behind.front().Value);
  log(T, std::move(Record));
}

/// Answers the orders for which \p Settle returns true.
template <class F> void settle(ControlTurn &T, F Settle) {
  auto &Orders = T.S.PendingEvacuations;
  Orders.erase(std::remove_if(Orders.begin(), Orders.end(), Settle),
               Orders.end());
}

/// The data centres that are known or evacuated, and their servers.
Json describeDataCentres(const ControlTurn &T) {
  const ControlHost &S = T.S;
  std::map<DataCentreId, std::int64_t> Servers;
  for (const DataCentreId &DataCentre : S.DataCentres.Names)
    Servers[DataCentre];
  for (const DataCentreId &DataCentre : S.Evacuation.DataCentres)
    Servers[DataCentre];
  for (const auto &[Id, Known] : S.Servers.Servers) {
    if (Known.Report.Phase == ServerPhase::Ready)
      Servers[Known.Report.DataCentre] += 1;
  }
  Json List = Json::array();
  for (const auto &[DataCentre, Count] : Servers)
    List.push_back({{"data_centre", DataCentre.Value},
                    {"evacuated", isEvacuated(S.Evacuation, DataCentre)},
                    {"servers", Count}});
  return List;
}

Json describeHosts(const ControlTurn &T) {
  const ControlHost &S = T.S;
  std::uint64_t Revision = S.Evacuation.Revision;
  Json List = Json::array();
  for (const auto &[Host, Entry] : S.Entries)
    List.push_back(
        {{"host", Host.Value},
         {"revision", Entry.Evacuation},
         {"in_force", isInForce(Entry.Evacuation, Revision, Revision)},
         {"contact_ms", toMilliseconds(T.Now - Entry.LastSeen)}});
  return List;
}

void listEvacuations(ControlTurn &T, ExchangeId Exchange) {
  rememberDataCentres(T);
  Json Body = {{"revision", T.S.Evacuation.Revision},
               {"leads", isLeader(T.S, T.Now)},
               {"data_centres", describeDataCentres(T)},
               {"hosts", describeHosts(T)}};
  reply(T, Exchange,
        jsonReply(Accepted,
                  Body.dump(-1, ' ', false, Json::error_handler_t::replace) +
                      "\n"));
}

} // namespace

void orderEvacuation(ControlTurn &T, ExchangeId Exchange, const HttpRequest &R,
                     const EvacuationOrder &Order) {
  ControlHost &S = T.S;
  if (!isLeader(S, T.Now)) {
    redirect(T, Exchange, R);
    return;
  }
  rememberDataCentres(T);
  if (refuseFaulty(T, Exchange, Order))
    return;
  // Also an order that holds already: one of the other kind may be in the log
  // without being committed, although its operator has left.
  StoredRouting Stored;
  Stored.Evacuation.Data = encodeOrder(Order);
  std::optional<Proposal> At = propose(S.Log, Blob{wire::toBytes(Stored)});
  if (!At) {
    refuse(T, Exchange, Code::NoLeader, "the log did not accept the proposal");
    return;
  }
  PendingEvacuation Pending;
  Pending.Exchange = Exchange;
  Pending.Order = Order;
  Pending.Index = At->Index;
  Pending.Term = At->Term;
  Pending.RequestedAt = T.Now;
  S.PendingEvacuations.push_back(std::move(Pending));
}

void storeEvacuation(ControlTurn &T, std::string_view Bytes) {
  if (Bytes.empty())
    return;
  ControlHost &S = T.S;
  Failure Why;
  bool IsChanged = valueOr<bool>(
      [&] { return applyStored(S.Evacuation, Bytes); }, false, Why);
  if (!Why.Detail.empty())
    log(T, {"evacuation_unreadable", {}, Why.Detail, {}});
  if (!IsChanged)
    return;
  log(T, recordOf(S.Evacuation, "evacuation_stored", "committed by the log"));
  updateHosts(T);
}

void markEvacuationsCommitted(ControlTurn &T, const LogEntry &Entry) {
  for (PendingEvacuation &Order : T.S.PendingEvacuations) {
    if (Order.Index != Entry.Index || Order.Term != Entry.Term ||
        Order.CommittedAt != TimePoint())
      continue;
    Order.CommittedAt = T.Now;
    Order.Revision = T.S.Evacuation.Revision;
  }
}

void failLostEvacuations(ControlTurn &T, const LostRange &Lost) {
  settle(T, [&](const PendingEvacuation &Order) {
    bool IsLost = Order.CommittedAt == TimePoint() && Order.Term == Lost.Term &&
                  Order.Index >= Lost.First && Order.Index <= Lost.Last;
    if (IsLost)
      refuse(T, Order.Exchange, Code::EditUnknown,
             "this host lost the leadership before the commit was confirmed");
    return IsLost;
  });
}

void answerPendingEvacuations(ControlTurn &T) {
  settle(T, [&](const PendingEvacuation &Order) {
    int Status = statusOf(T, Order);
    if (Status == 0)
      return false;
    logAnswer(T, Order, Status);
    if (Status == Accepted)
      reply(T, Order.Exchange, jsonReply(Accepted, "{}"));
    else
      refuse(T, Order.Exchange, Code::EditUnknown,
             Order.CommittedAt == TimePoint()
                 ? "the commit of the order was not confirmed in time"
                 : "committed, but not yet in force at every host in contact");
    return true;
  });
}

std::vector<HostId> hostsWithoutEvacuation(const ControlHost &S,
                                           std::uint64_t Revision,
                                           TimePoint Now) {
  std::vector<HostId> Behind;
  for (const auto &[Host, Entry] : S.Entries) {
    if (isInContact(Entry, Now) &&
        !isInForce(Entry.Evacuation, Revision, S.Evacuation.Revision))
      Behind.push_back(Host);
  }
  return Behind;
}

void rememberDataCentres(ControlTurn &T) {
  ControlHost &S = T.S;
  KnownDataCentres &Known = S.DataCentres;
  auto Remember = [&](const DataCentreId &DataCentre) {
    if (!DataCentre.empty() && Known.Names.size() < MaxRemembered)
      Known.Names.insert(DataCentre);
  };
  for (const auto &[Id, Server] : S.Servers.Servers)
    Remember(Server.Report.DataCentre);
  for (const auto &[Host, Entry] : S.Entries)
    Remember(Entry.DataCentre);
  Known.IsComplete = T.Now >= S.StartedAt + S.Limits.ForgetAfter &&
                     Known.Names.size() < MaxRemembered;
}

bool evacuationCall(ControlTurn &T, ExchangeId Exchange, const HttpRequest &R) {
  std::string_view Path = R.Path;
  if (Path == EvacuationsPath && R.Method == HttpMethod::Get) {
    listEvacuations(T, Exchange);
    return true;
  }
  bool IsOrder = R.Method == HttpMethod::Put &&
                 Path.size() > EvacuationsPath.size() &&
                 Path.substr(0, EvacuationsPath.size()) == EvacuationsPath &&
                 Path[EvacuationsPath.size()] == '/';
  if (!IsOrder)
    return false;
  std::string_view Rest = Path.substr(EvacuationsPath.size() + 1);
  std::size_t Slash = Rest.find('/');
  std::string_view Action =
      Slash == std::string_view::npos ? "" : Rest.substr(Slash + 1);
  bool IsEscaped = Rest.find('%') != std::string_view::npos;
  if (Slash == 0 || IsEscaped || (Action != "start" && Action != "finish")) {
    refuse(T, Exchange, Code::BadRequest,
           "the path is not of the form /v1/evacuations/DATA-CENTRE/start or "
           "/finish, without escapes");
    return true;
  }
  if (!isLeader(T.S, T.Now)) {
    refuse(T, Exchange, Code::NoLeader,
           "this host does not lead; the leader is " +
               (leader(T.S.Log).empty() ? "not known" : leader(T.S.Log).Value));
    return true;
  }
  orderEvacuation(
      T, Exchange, R,
      {DataCentreId(std::string(Rest.substr(0, Slash))), Action == "start"});
  return true;
}

} // namespace pimento::control
