#include "schedule/Entry.h"

#include "schedule/EntryInternal.h"

#include <algorithm>

namespace pimento {

namespace {

/// First tokens of prompts longer than this are reported at once, since the
/// scheduler holds the next long prompt back until then.
constexpr std::uint64_t ImmediateReportTokens = 8192;

LocalAttempt localAttempt(const AttemptId &Id) {
  return {Id.Request.Lo, Id.Number};
}

/// Returns the request with its time left and time waited as of \p Now.
GrantRequest currentRequest(const PendingRequest &P, TimePoint Now) {
  GrantRequest A = P.Request;
  A.TimeLeft = std::max<Duration>(Duration::zero(), P.Deadline - Now);
  A.Waited = P.Request.Waited + (Now - P.Started);
  return A;
}

void sendGrantRequest(const EntryCell &Cell, const PendingRequest &P,
                      TimePoint Now, EntryEffects &Out) {
  if (!Cell.Holder.empty())
    Out.Messages.push_back({Cell.Holder, currentRequest(P, Now)});
}

HeldGrant describe(const EntryGrant &G, TimePoint Now) {
  HeldGrant H;
  H.Attempt = G.Request.Attempt;
  H.Account = G.Request.Account;
  H.Model = G.Request.Model;
  H.PromptTokens = G.Request.PromptTokens;
  H.OutputTokens = G.Request.OutputTokens;
  H.Generated = G.OutputTokens;
  H.Weight = G.Request.Weight;
  H.TimeLeft = std::max<Duration>(Duration::zero(), G.Deadline - Now);
  H.Engines = G.Given.Engines;
  return H;
}

Register registration(const EntryState &E, CellId Cell) {
  Register R;
  R.Cell = Cell;
  R.Incarnation = E.Config.Incarnation;
  return R;
}

void registerAll(EntryState &E, CellId Id, const EntryCell &Cell, TimePoint Now,
                 EntryEffects &Out) {
  Register R = registration(E, Id);
  for (const auto &[Attempt, G] : Cell.Grants)
    R.Grants.push_back(describe(G, Now));
  // Sent even if empty: it tells the holder this host's incarnation.
  Out.Messages.push_back({Cell.Holder, std::move(R)});
  for (const auto &[Attempt, P] : Cell.Pending)
    sendGrantRequest(Cell, P, Now, Out);
}

void renew(EntryState &E, CellId Id, EntryCell &Cell, TimePoint Now,
           EntryEffects &Out) {
  if (Now < Cell.NextRenew || Cell.Holder.empty())
    return;
  Cell.NextRenew = Now + E.Config.RenewInterval;
  if (Cell.Grants.empty() && Cell.Pending.empty())
    return;
  RenewGrants R;
  R.Cell = Id;
  R.Incarnation = E.Config.Incarnation;
  R.Hi = E.Config.Hi;
  for (auto &[Attempt, G] : Cell.Grants) {
    R.Grants.push_back(
        {localAttempt(Attempt), G.PrefillTokens, G.OutputTokens});
    G.FirstTokenUnsent = false;
  }
  for (const auto &[Attempt, P] : Cell.Pending)
    R.Waiting.push_back(localAttempt(Attempt));
  Out.Messages.push_back({Cell.Holder, std::move(R)});
}

/// Reports first tokens of longer prompts before the next renewal.
void sendFirstTokens(EntryState &E, CellId Id, EntryCell &Cell,
                     EntryEffects &Out) {
  if (!Cell.HasUnsentFirstTokens || Cell.Holder.empty())
    return;
  Cell.HasUnsentFirstTokens = false;
  Progress P;
  P.Cell = Id;
  P.Hi = E.Config.Hi;
  for (auto &[Attempt, G] : Cell.Grants) {
    if (!G.FirstTokenUnsent)
      continue;
    G.FirstTokenUnsent = false;
    P.Attempts.push_back(
        {localAttempt(Attempt), G.PrefillTokens, G.OutputTokens});
  }
  if (!P.Attempts.empty())
    Out.Messages.push_back({Cell.Holder, std::move(P)});
}

/// Answers requests whose deadline has passed, independent of the scheduler.
void expireRequests(EntryState &E, EntryCell &Cell, TimePoint Now,
                    EntryEffects &Out) {
  std::vector<AttemptId> Late;
  for (const auto &[Id, P] : Cell.Pending)
    if (Now >= P.Deadline)
      Late.push_back(Id);
  for (const AttemptId &Id : Late) {
    EntryAnswer Answer;
    Answer.Attempt = Id;
    Answer.Result = Code::DeadlineUnreachable;
    Answer.RetryAfter = seconds(1);
    withdrawGrantRequest(E, Id, Now, Out);
    Out.Answers.push_back(std::move(Answer));
  }
}

} // namespace

EntryState startEntry(const EntryConfig &Config) {
  EntryState E;
  E.Config = Config;
  E.Generator.seed(Config.Seed);
  return E;
}

void setHolder(EntryState &E, CellId Cell, const HostId &Holder,
               std::uint64_t Epoch, TimePoint Now, EntryEffects &Out) {
  EntryCell &C = E.Cells[Cell];
  const bool Older = Epoch < C.Epoch;
  const bool Same = Holder == C.Holder && Epoch == C.Epoch;
  if (Older || Same)
    return;
  if (Holder.empty() && !C.Holder.empty())
    C.HolderLost = Now;
  C.Holder = Holder;
  C.Epoch = Epoch;
  if (!Holder.empty())
    registerAll(E, Cell, C, Now, Out);
}

void startGrantRequest(EntryState &E, const GrantRequest &A, TimePoint Now,
                       EntryEffects &Out) {
  EntryCell &C = E.Cells[A.Cell];
  if (E.Where.count(A.Attempt) != 0)
    return;
  E.Where[A.Attempt] = A.Cell;
  PendingRequest P{A, Now, Now + A.TimeLeft};
  sendGrantRequest(C, P, Now, Out);
  C.Pending.emplace(A.Attempt, std::move(P));
  if (C.Holder.empty())
    placeWithoutHolder(E, A.Cell, Now, Out);
}

void withdrawGrantRequest(EntryState &E, const AttemptId &Id, TimePoint Now,
                          EntryEffects &Out) {
  (void)Now;
  auto Found = E.Where.find(Id);
  if (Found == E.Where.end())
    return;
  EntryCell &C = E.Cells[Found->second];
  if (!C.Holder.empty())
    Out.Messages.push_back({C.Holder, Withdraw{Id, Found->second}});
  C.Pending.erase(Id);
  C.Grants.erase(Id);
  E.Where.erase(Found);
}

void endAttempt(EntryState &E, Release R, TimePoint Now, EntryEffects &Out) {
  (void)Now;
  auto Found = E.Where.find(R.Attempt);
  if (Found == E.Where.end())
    return;
  R.Cell = Found->second;
  EntryCell &C = E.Cells[Found->second];
  C.Pending.erase(R.Attempt);
  C.Grants.erase(R.Attempt);
  E.Where.erase(Found);
  if (!C.Holder.empty())
    Out.Messages.push_back({C.Holder, R});
}

void noteProgress(EntryState &E, const AttemptId &Id,
                  std::uint32_t PrefillTokens, std::uint32_t OutputTokens) {
  auto Found = E.Where.find(Id);
  if (Found == E.Where.end())
    return;
  EntryCell &C = E.Cells[Found->second];
  auto Held = C.Grants.find(Id);
  if (Held == C.Grants.end())
    return;
  EntryGrant &G = Held->second;
  if (G.OutputTokens == 0 && OutputTokens > 0 &&
      G.Request.PromptTokens > ImmediateReportTokens) {
    G.FirstTokenUnsent = true;
    C.HasUnsentFirstTokens = true;
  }
  G.PrefillTokens = std::max(G.PrefillTokens, PrefillTokens);
  G.OutputTokens = std::max(G.OutputTokens, OutputTokens);
}

void onGrant(EntryState &E, const HostId &From, const Grant &G, TimePoint Now,
             EntryEffects &Out) {
  EntryCell &C = E.Cells[G.Cell];
  if (G.Epoch < C.Epoch) {
    DecisionRecord D{
        "drop", G.Attempt.Request, "the grant has an older epoch", {}};
    D.add("epoch", static_cast<std::int64_t>(G.Epoch));
    Out.Decisions.push_back(std::move(D));
    return;
  }
  auto Held = C.Grants.find(G.Attempt);
  if (Held != C.Grants.end()) {
    if (Held->second.Given.Engines.front().Backend == G.Engines.front().Backend)
      return;
    Register R = registration(E, G.Cell);
    R.Grants.push_back(describe(Held->second, Now));
    Out.Messages.push_back({From, std::move(R)});
    return;
  }
  auto Waiting = C.Pending.find(G.Attempt);
  if (Waiting == C.Pending.end()) {
    Release R;
    R.Attempt = G.Attempt;
    R.Cell = G.Cell;
    R.End = AttemptEnd::Unused;
    Out.Messages.push_back({From, R});
    return;
  }
  EntryGrant Mine{Waiting->second.Request, G, Waiting->second.Started,
                  Waiting->second.Deadline};
  C.Pending.erase(Waiting);
  C.Grants.emplace(G.Attempt, std::move(Mine));
  EntryAnswer Answer;
  Answer.Attempt = G.Attempt;
  Answer.Given = G;
  Out.Answers.push_back(std::move(Answer));
}

void onRefusal(EntryState &E, const HostId &From, const Refusal &R,
               TimePoint Now, EntryEffects &Out) {
  (void)From;
  (void)Now;
  EntryCell &C = E.Cells[R.Cell];
  if (R.Epoch < C.Epoch || C.Pending.erase(R.Attempt) == 0)
    return;
  E.Where.erase(R.Attempt);
  EntryAnswer Answer;
  Answer.Attempt = R.Attempt;
  Answer.Result = R.Reason;
  Answer.RetryAfter = R.RetryAfter;
  Out.Answers.push_back(std::move(Answer));
}

void onRegisterRequest(EntryState &E, const HostId &From,
                       const RegisterRequest &R, TimePoint Now,
                       EntryEffects &Out) {
  EntryCell &C = E.Cells[R.Cell];
  if (R.Epoch < C.Epoch || From != C.Holder)
    return;
  if (R.Attempts.empty()) { // All grants and requests of this host in the cell.
    registerAll(E, R.Cell, C, Now, Out);
    return;
  }
  Register Known = registration(E, R.Cell);
  for (const LocalAttempt &A : R.Attempts) {
    const AttemptId Id = {{R.Hi, A.Lo}, A.Number};
    auto Held = C.Grants.find(Id);
    if (Held != C.Grants.end())
      Known.Grants.push_back(describe(Held->second, Now));
    auto Waiting = C.Pending.find(Id);
    if (Waiting != C.Pending.end())
      sendGrantRequest(C, Waiting->second, Now, Out);
  }
  if (!Known.Grants.empty())
    Out.Messages.push_back({From, std::move(Known)});
}

void tick(EntryState &E, TimePoint Now, EntryEffects &Out) {
  for (auto &[Id, Cell] : E.Cells) {
    expireRequests(E, Cell, Now, Out);
    renew(E, Id, Cell, Now, Out);
    sendFirstTokens(E, Id, Cell, Out);
    if (Cell.Holder.empty())
      placeWithoutHolder(E, Id, Now, Out);
  }
}

} // namespace pimento
