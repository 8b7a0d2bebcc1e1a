// Callers of the simulated site: their requests, and what became of them.

#include "gateway/tests/ServerSite.h"

#include <algorithm>

namespace pimento::testing {

namespace {

/// The pages' contactMs: a change is known to all hosts after this time.
constexpr Duration ContactTime = seconds(3);
constexpr std::size_t CrashesBeforeContainment = 5;
/// The same for a whole request.
constexpr std::size_t CrashesOfCall = 3;
/// Part that all sound requests of a kind share.
constexpr PartId CommonPart{0xa1};

/// Whether the route of the target leads to engines.
bool isForEngines(const std::string &Target) {
  std::string Prefix = Target.substr(0, 3);
  return Prefix == "/s/" || Prefix == "/a/" || Prefix == "/o/";
}

} // namespace

bool hasStreams(const std::string &Target) {
  std::string Prefix = Target.substr(0, 3);
  return Prefix == "/s/" || Prefix == "/t/";
}

const HostId &ServerSite::anyEntry() {
  std::vector<const HostId *> Ready;
  for (const auto &[Name, N] : Entries) {
    if (N.Up && isReady(N.State))
      Ready.push_back(&Name);
  }
  if (Ready.empty())
    return Entries.begin()->first;
  return *Ready[below(Rng, Ready.size())];
}

std::string ServerSite::send(const HostId &Host, HttpRequest R,
                             const std::string &Account, bool Bad) {
  std::string Attempt = "t" + std::to_string(NextAttempt++);
  ExchangeId Exchange{NextExchange++};
  Exchanges[{Host, Exchange}] = Attempt;
  CallerView &View = Callers[Attempt];
  View.Bad = Bad;
  View.Streams = hasStreams(R.Target);
  View.Account = Account;
  View.Host = Host;
  View.Exchange = Exchange;
  View.SentAt = now();
  R.Path = R.Target;
  R.Headers.push_back({"Host", "h"});
  R.Headers.push_back({"X-Pimentoglade-Attempt-Id", Attempt});
  R.Headers.push_back({"Authorization", "Token k" + Account});
  EntryNode &N = Entries.at(Host);
  if (N.Up)
    event(N, CallerRequest{Exchange, R});
  return Attempt;
}

std::string ServerSite::call(const HostId &Host, const std::string &Account,
                             const std::vector<PartId> &Parts, bool Bad) {
  HttpRequest R;
  R.Method = HttpMethod::Post;
  R.Target = "/s/1";
  for (PartId Part : Parts)
    R.Body += (R.Body.empty() ? "" : ",") + toString(Part) + ":1000";
  R.Headers = {{"X-Pimentoglade-Token-Count", "5000,430"},
               {"X-Pimentoglade-Prefix-Hash", R.Body}};
  return send(Host, std::move(R), Account, Bad);
}

std::string ServerSite::callPlain(const HostId &Host, bool MayRepeat) {
  HttpRequest R;
  R.Method = MayRepeat ? HttpMethod::Get : HttpMethod::Post;
  R.Target = MayRepeat ? "/r/1" : "/w/1";
  return send(Host, std::move(R), "a", false);
}

std::string ServerSite::callAs(const HostId &Host, const BadCall &Call) {
  HttpRequest R;
  R.Method = HttpMethod::Post;
  R.Target = Call.Target;
  R.Body = Call.Body;
  if (isForEngines(Call.Target)) {
    // The last part differs each time, as that of a session does.
    std::string List = toString(CommonPart) + ":1000," +
                       toString(PartId{NextPart++}) + ":1000";
    R.Headers = {{"X-Pimentoglade-Token-Count", "5000,430"},
                 {"X-Pimentoglade-Prefix-Hash", List}};
  }
  bool Bad = BadViews.count(Call) > 0 && CuredCalls.count(Call) == 0;
  std::string Attempt = send(Host, std::move(R), Call.Account, false);
  Callers[Attempt].Bad = Bad;
  return Attempt;
}

void ServerSite::leave(const std::string &Attempt) {
  CallerView &View = Callers.at(Attempt);
  EntryNode &N = Entries.at(View.Host);
  if (!N.Up || View.AnsweredAt != TimePoint())
    return;
  View.HasLeft = true;
  event(N, ExchangeLeft{View.Exchange});
}

void ServerSite::planLeaving(const std::string &Attempt, bool IsBad) {
  Duration After = IsBad ? Load.BadLeaveAfter : Load.SoundLeaveAfter;
  if (After != Duration::max())
    Leaving.emplace(now() + After, Attempt);
}

void ServerSite::stepLeavingCallers() {
  while (!Leaving.empty() && now() >= Leaving.begin()->first) {
    std::string Attempt = Leaving.begin()->second;
    Leaving.erase(Leaving.begin());
    leave(Attempt);
  }
}

void ServerSite::stepCallers() {
  while (Load.SoundEvery != Duration::max() && now() >= SoundAt) {
    SoundAt += Load.SoundEvery;
    const std::string &Account =
        Load.Accounts[below(Rng, Load.Accounts.size())];
    // Sound requests share their other parts with the bad ones.
    PartId Shared{0x500 + static_cast<std::uint64_t>(Account[0])};
    std::vector<PartId> Parts = {CommonPart, Shared, PartId{NextPart++}};
    std::string Attempt = call(anyEntry(), Account, Parts, false);
    if (NextAttempt % 3 == 0)
      planLeaving(Attempt, /*IsBad=*/false);
  }
  while (!BadParts.empty() && now() >= BadAt) {
    BadAt += Load.BadEvery;
    const std::string &Account =
        Load.Accounts[Load.OneBadAccount ? 0
                                         : below(Rng, Load.Accounts.size())];
    PartId Bad = BadParts[below(Rng, BadParts.size())];
    std::vector<PartId> Parts = {CommonPart, Bad, PartId{NextPart++}};
    if (Load.BadIsFirst)
      Parts = {Bad, PartId{NextPart++}};
    planLeaving(call(anyEntry(), Account, Parts, Cured.count(Bad) == 0),
                /*IsBad=*/true);
  }
  stepOtherCallers();
  stepLeavingCallers();
}

void ServerSite::stepOtherCallers() {
  while (Load.PlainEvery != Duration::max() && now() >= PlainAt) {
    PlainAt += Load.PlainEvery;
    callPlain(anyEntry(), NextAttempt % 2 == 0);
  }
  while (!BadCalls.empty() && now() >= BadCallAt) {
    BadCallAt += Load.BadCallEvery;
    planLeaving(callAs(anyEntry(), BadCalls[NextBadCall++ % BadCalls.size()]),
                /*IsBad=*/true);
  }
}

std::size_t ServerSite::lateSends() const {
  if (BadCrashes.size() < CrashesBeforeContainment)
    return 0;
  TimePoint From = BadCrashes[CrashesBeforeContainment - 1] + ContactTime;
  return static_cast<std::size_t>(
      std::count_if(BadSends.begin(), BadSends.end(),
                    [&](TimePoint At) { return At > From; }));
}

std::size_t ServerSite::lateSends(const BadCall &Call) const {
  const BadCallView &View = BadViews.at(Call);
  if (View.Crashes.size() < CrashesOfCall)
    return 0;
  TimePoint From = View.Crashes[CrashesOfCall - 1] + ContactTime;
  return static_cast<std::size_t>(
      std::count_if(View.Sends.begin(), View.Sends.end(),
                    [&](TimePoint At) { return At > From; }));
}

double ServerSite::soundShare(TimePoint From, TimePoint Until) const {
  std::size_t All = 0;
  std::size_t Served = 0;
  for (const auto &[Attempt, View] : Callers) {
    if (View.Bad || View.HasLeft || View.SentAt < From || View.SentAt >= Until)
      continue;
    All += 1;
    Served += View.Complete && View.Sends == 1 ? 1 : 0;
  }
  return All == 0 ? 1 : static_cast<double>(Served) / static_cast<double>(All);
}

} // namespace pimento::testing