#include "routing/Routing.h"

#include <algorithm>
#include <cctype>
#include <set>

namespace pimento {

namespace {

std::string lower(std::string_view Text) {
  std::string Result(Text);
  for (char &C : Result)
    C = static_cast<char>(std::tolower(static_cast<unsigned char>(C)));
  return Result;
}

std::string_view withoutPort(std::string_view Host) {
  std::size_t Colon = Host.rfind(':');
  bool Bracketed = !Host.empty() && Host.back() == ']';
  return Colon == std::string_view::npos || Bracketed ? Host
                                                      : Host.substr(0, Colon);
}

std::uint64_t totalWeight(const Route &R) {
  std::uint64_t Sum = 0;
  for (const RouteTarget &Target : R.Targets)
    Sum += Target.Weight;
  return Sum;
}

std::string findRouteFault(const Route &R, const std::set<ServiceId> &Known) {
  if (totalWeight(R) == 0)
    return "the weights of route " + R.Name + " add up to zero";
  if (R.TimeLimit <= Duration::zero())
    return "route " + R.Name + " has no time limit";
  for (const RouteTarget &Target : R.Targets) {
    if (Known.count(Target.Service) == 0)
      return "route " + R.Name + " names the unknown service " +
             Target.Service.Value;
  }
  return "";
}

std::string findKeyFault(const std::vector<RoutedAccount> &Accounts) {
  std::set<std::string> Keys;
  for (const RoutedAccount &Account : Accounts) {
    std::set<std::string> Distinct(Account.Keys.begin(), Account.Keys.end());
    for (const std::string &Key : Distinct) {
      if (!Keys.insert(Key).second)
        return "account " + Account.Name.Value +
               " shares a key with another account";
    }
  }
  return "";
}

} // namespace

const char *toString(CallKind K) {
  switch (K) {
  case CallKind::Idempotent:
    return "idempotent";
  case CallKind::Once:
    return "once";
  case CallKind::Stream:
    return "stream";
  }
  return "unknown";
}

std::string findConfigError(const RoutingConfig &C) {
  std::set<ServiceId> Known;
  for (const RoutedService &Service : C.Services)
    Known.insert(Service.Name);
  std::set<std::pair<std::string, std::string>> Patterns;
  for (const Route &R : C.Routes) {
    std::string Fault = findRouteFault(R, Known);
    if (!Fault.empty())
      return Fault;
    if (!Patterns.emplace(lower(R.Host), R.PathPrefix).second)
      return "route " + R.Name + " has the host and prefix of another route";
  }
  return findKeyFault(C.Accounts);
}

std::shared_ptr<const RouteTable> makeRouteTable(RoutingConfig C) {
  auto Table = std::make_shared<RouteTable>();
  Table->Config = std::move(C);
  for (const Route &R : Table->Config.Routes)
    Table->ByHost[lower(R.Host)].push_back(&R);
  for (auto &[Host, Routes] : Table->ByHost)
    std::stable_sort(Routes.begin(), Routes.end(),
                     [](const Route *A, const Route *B) {
                       return A->PathPrefix.size() > B->PathPrefix.size();
                     });
  for (const RoutedAccount &Account : Table->Config.Accounts) {
    for (const std::string &Key : Account.Keys)
      Table->ByKey.emplace(Key, &Account);
  }
  for (const RoutedService &Service : Table->Config.Services)
    Table->ByService.emplace(Service.Name, &Service);
  return Table;
}

const Route *findRoute(const RouteTable &T, std::string_view Host,
                       std::string_view Path) {
  auto Found = T.ByHost.find(lower(withoutPort(Host)));
  if (Found == T.ByHost.end())
    return nullptr;
  for (const Route *R : Found->second) {
    if (Path.substr(0, R->PathPrefix.size()) == R->PathPrefix)
      return R;
  }
  return nullptr;
}

const RoutedAccount *findAccount(const RouteTable &T, const std::string &Key) {
  auto Found = T.ByKey.find(Key);
  return Found == T.ByKey.end() ? nullptr : Found->second;
}

const ServiceId &chooseTarget(const Route &R, std::uint64_t Draw) {
  std::uint64_t Left = Draw % std::max<std::uint64_t>(1, totalWeight(R));
  for (const RouteTarget &Target : R.Targets) {
    if (Left < Target.Weight)
      return Target.Service;
    Left -= Target.Weight;
  }
  return R.Targets.front().Service;
}

} // namespace pimento
