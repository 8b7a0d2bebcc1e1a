// Benchmarks claims against a fake log, which commits an entry after a fixed
// time and bounds the number of entries in flight, like a disk that syncs.

#include "CallsBench.h"

#include "calls/ClaimLeader.h"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <map>

namespace pimento::bench {

namespace {

constexpr Duration CommitTime = milliseconds(5); // Disk sync and round trip.
constexpr std::size_t Accounts = 2000;

/// A leader and its log in virtual time.
class ClaimSite {
public:
  std::vector<Duration> Waits; // From claim request to send permit.

  explicit ClaimSite(std::size_t BatchCommands) {
    Leader.Settings.BatchCommands = BatchCommands;
    becomeLeader(Leader, Applied, Now);
  }

  /// Requests \p Rate claims per second for \p Time; each call ends 1 ms after
  /// its send permit.
  void run(double Rate, Duration Time) {
    auto Count = static_cast<std::uint64_t>(Rate * toSeconds(Time));
    for (std::uint64_t I = 0; I < Count; ++I)
      at(TimePoint(hours(1)) + fromSeconds(static_cast<double>(I) / Rate),
         [this, I] { ask(I); });
    TimePoint End = Now + Time;
    while (!Queue.empty() && Queue.begin()->first <= End) {
      Now = Queue.begin()->first;
      auto Do = std::move(Queue.begin()->second);
      Queue.erase(Queue.begin());
      Do();
    }
  }

private:
  calls::ClaimsState Applied;
  calls::ClaimLeader Leader;
  TimePoint Now = TimePoint(hours(1));
  std::multimap<TimePoint, std::function<void()>> Queue;
  std::map<RequestId, std::pair<TimePoint, ClaimKey>> Asked;
  HostId Host{"h"};

  void at(TimePoint When, std::function<void()> Do) {
    Queue.emplace(When, std::move(Do));
  }

  void ask(std::uint64_t Number) {
    ClaimRequest R;
    R.Request = {1, Number + 1};
    R.Key = {ServiceId("ledger"),
             AccountId("a" + std::to_string(Number % Accounts)),
             "key-" + std::to_string(Number)};
    R.BodySha256 = std::string(64, 'f');
    R.Incarnation = 1;
    R.TimeLeft = seconds(30);
    R.Retention = hours(24);
    R.Sequence = 1;
    Asked[R.Request] = {Now, R.Key};
    calls::ClaimEffects Out;
    onClaimRequest(Leader, Applied, Host, R, Now, Out);
    take(Out);
  }

  void take(calls::ClaimEffects &Out) {
    for (calls::ClaimEffect &E : Out.List) {
      if (auto *P = std::get_if<calls::ProposeClaims>(&E)) {
        at(Now + CommitTime, [this, P = std::move(*P)] { commit(P); });
      } else if (auto *R = std::get_if<calls::SendClaimReply>(&E)) {
        if (R->Content.State != ClaimState::Granted)
          continue;
        RequestId Id = R->Content.Request;
        Waits.push_back(Now - Asked.at(Id).first);
        at(Now + milliseconds(1), [this, Id] { finish(Id); });
      }
    }
  }

  void commit(const calls::ProposeClaims &P) {
    std::vector<calls::ClaimChange> Changes = applyClaims(Applied, P.Entry);
    calls::ClaimEffects Out;
    onClaimsApplied(Leader, Applied, P.Ticket, Changes, Now, Out);
    take(Out);
  }

  void finish(const RequestId &Id) {
    ClaimResult R;
    R.Request = Id;
    R.Key = Asked.at(Id).second;
    R.End = ClaimOutcome::Answered;
    R.Status = 200;
    R.Body.Data = "{\"done\":true}";
    calls::ClaimEffects Out;
    onClaimResult(Leader, Applied, Host, R, Now, Out);
    take(Out);
  }
};

double quantile(std::vector<Duration> Values, double Share) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  auto At =
      static_cast<std::size_t>(Share * static_cast<double>(Values.size() - 1));
  return toSeconds(Values[At]) * 1000;
}

} // namespace

bool measureClaims() {
  constexpr Duration Time = seconds(5);
  constexpr Duration Crowded = seconds(1);
  for (std::size_t Batch : {1, 16, 64, 256}) {
    ClaimSite Site(Batch);
    Site.run(20000, Crowded);
    std::printf("claims, entries of up to %zu commands: %.0f a second while "
                "20000 a second ask (stand-in log, 5 ms a commit)\n",
                Batch,
                static_cast<double>(Site.Waits.size()) / toSeconds(Crowded));
  }
  bool Good = true;
  for (double Rate : {10.0, 200.0, 2000.0}) {
    auto Start = std::chrono::steady_clock::now();
    ClaimSite Site(256);
    Site.run(Rate, Time);
    double Took = toSeconds(std::chrono::steady_clock::now() - Start);
    double P50 = quantile(Site.Waits, 0.5);
    double P95 = quantile(Site.Waits, 0.95);
    std::printf("claims, %.0f a second: added latency p50 %.1f ms, p95 %.1f "
                "ms; %.1f us of processor time each\n",
                Rate, P50, P95,
                Took * 1e6 / static_cast<double>(Site.Waits.size()));
    // A claim waits for at most one entry in flight before its own.
    Good = within("p95 of a claim in commits", P95 / 5, 2.0) && Good;
  }
  return Good;
}

} // namespace pimento::bench
