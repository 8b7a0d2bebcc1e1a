#include "document/Store.h"

#include "base/Token.h"
#include "wire/Fields.h"

#include <algorithm>

namespace pimento {

namespace {

constexpr std::uint64_t CommandVersion = 1;
constexpr std::uint64_t SnapshotVersion = 1;
// Times are encoded as whole milliseconds, since times since 1970 exceed the
// range of the durations in wire/Fields.h.
constexpr JsonLimits CommandLimits = {4U << 20U, /*Depth=*/4, /*Values=*/64};
constexpr JsonLimits SnapshotLimits = {MaxSnapshotBytes, /*Depth=*/8,
                                       /*Values=*/1U << 26U};

struct CommandRecord {
  std::uint64_t Version = CommandVersion;
  ServiceId Service;
  std::uint64_t Number = 0;
  std::string EditId;
  Blob Text;
  std::int64_t AtMs = 0; // Milliseconds since 1970.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Version, M.Service, M.Number, M.EditId, M.Text, M.AtMs);
  }
};

struct VersionRecord {
  std::uint64_t Number = 0;
  std::uint64_t Revision = 0;
  std::string EditId;
  std::string TextSha256;
  std::int64_t AtMs = 0; // Milliseconds since 1970.
  Blob Text;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Number, M.Revision, M.EditId, M.TextSha256, M.AtMs, M.Text);
  }
};

struct AnswerRecord {
  std::string EditId;
  std::string TextSha256;
  Code Result = Code::Ok;
  std::uint64_t Number = 0;
  std::uint64_t Revision = 0;
  std::int64_t AtMs = 0; // Milliseconds since 1970.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.EditId, M.TextSha256, M.Result, M.Number, M.Revision, M.AtMs);
  }
};

struct ServiceRecord {
  ServiceId Service;
  std::vector<VersionRecord> Versions;
  std::vector<AnswerRecord> Answers;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Service, M.Versions, M.Answers);
  }
};

struct StoreRecord {
  std::uint64_t Version = SnapshotVersion;
  std::uint64_t Revision = 0;
  std::int64_t ClockMs = 0; // Milliseconds since 1970.
  std::vector<ServiceRecord> Services;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Version, M.Revision, M.ClockMs, M.Services);
  }
};

const RecordedAnswer *findAnswer(const ServiceHistory &H,
                                 const std::string &EditId) {
  auto Found = H.AnswerIndex.find(EditId);
  if (Found == H.AnswerIndex.end())
    return nullptr;
  return &H.Answers[Found->second - H.AnswersDropped];
}

void recordAnswer(ServiceHistory &H, RecordedAnswer Answer) {
  H.AnswerIndex[Answer.EditId] = H.AnswersDropped + H.Answers.size();
  H.Answers.push_back(std::move(Answer));
}

void dropOldAnswers(ServiceHistory &H, Duration Clock) {
  while (!H.Answers.empty()) {
    const RecordedAnswer &Oldest = H.Answers.front();
    bool Old =
        Clock - Oldest.At > MinAnswerAge && H.Answers.size() > MinAnswers;
    if (!Old && H.Answers.size() <= MaxAnswers)
      return;
    H.AnswerIndex.erase(Oldest.EditId);
    H.Answers.pop_front();
    ++H.AnswersDropped;
  }
}

void trimService(ServiceHistory &H) {
  auto &Versions = H.Versions;
  if (Versions.size() > MaxHistoryVersions)
    Versions.erase(Versions.begin(), Versions.end() - MaxHistoryVersions);
  if (Versions.size() > MaxHistoryTexts)
    Versions[Versions.size() - 1 - MaxHistoryTexts].Text.clear();
}

/// Drops the oldest texts of all services until the rest is within
/// MaxHistoryBytes. Never drops the current text of a service.
void trimTexts(Store &S) {
  std::size_t Bytes = 0;
  for (const auto &Entry : S.Services) {
    const auto &Versions = Entry.second.Versions;
    for (std::size_t I = 0; I + 1 < Versions.size(); ++I)
      Bytes += Versions[I].Text.size();
  }
  while (Bytes > MaxHistoryBytes) {
    StoredVersion *Oldest = nullptr;
    for (auto &Entry : S.Services) {
      auto &Versions = Entry.second.Versions;
      for (std::size_t I = 0; I + 1 < Versions.size(); ++I) {
        StoredVersion &V = Versions[I];
        if (!V.Text.empty() && (!Oldest || V.Revision < Oldest->Revision))
          Oldest = &V;
      }
    }
    Bytes -= Oldest->Text.size();
    Oldest->Text.clear();
  }
}

std::uint64_t currentNumber(const ServiceHistory &H) {
  return H.Versions.empty() ? 0 : H.Versions.back().Number;
}

PutDocumentOutcome repeated(const RecordedAnswer &Answer,
                            const std::string &TextSha256) {
  if (Answer.TextSha256 != TextSha256)
    return {Code::EditIdReused, Answer.Number, 0, false};
  return {Answer.Result, Answer.Number, Answer.Revision, true};
}

PutDocumentOutcome accept(Store &S, ServiceHistory &H,
                          const PutDocumentCommand &C,
                          const std::string &EditId,
                          const std::string &TextSha256) {
  ++S.Revision;
  H.Versions.push_back(
      {C.Number, S.Revision, EditId, TextSha256, S.Clock, C.Text});
  trimService(H);
  trimTexts(S);
  return {Code::Ok, C.Number, S.Revision, false};
}

} // namespace

PutDocumentOutcome apply(Store &S, const PutDocumentCommand &C) {
  S.Clock = std::max(S.Clock, C.At);
  std::string TextSha256 = sha256Hex(C.Text);
  const std::string &EditId = C.EditId.empty() ? TextSha256 : C.EditId;
  if (S.Services.count(C.Service) == 0 && S.Services.size() >= MaxServices)
    return {Code::Overloaded, 0, 0, false};
  ServiceHistory &H = S.Services[C.Service];
  dropOldAnswers(H, S.Clock);
  if (const RecordedAnswer *Answer = findAnswer(H, EditId))
    return repeated(*Answer, TextSha256);
  PutDocumentOutcome Outcome = {Code::DocumentConflict, currentNumber(H), 0,
                                false};
  if (C.Number == currentNumber(H) + 1)
    Outcome = accept(S, H, C, EditId, TextSha256);
  recordAnswer(H, {EditId, TextSha256, Outcome.Result, Outcome.Number,
                   Outcome.Revision, S.Clock});
  return Outcome;
}

const StoredVersion *currentDocument(const Store &S, const ServiceId &Service) {
  auto Found = S.Services.find(Service);
  if (Found == S.Services.end() || Found->second.Versions.empty())
    return nullptr;
  return &Found->second.Versions.back();
}

std::vector<StoredVersion> history(const Store &S, const ServiceId &Service) {
  auto Found = S.Services.find(Service);
  if (Found == S.Services.end())
    return {};
  return Found->second.Versions;
}

std::uint64_t numberAt(const Store &S, const ServiceId &Service,
                       std::uint64_t Revision) {
  std::uint64_t Number = 0;
  auto Found = S.Services.find(Service);
  if (Found == S.Services.end())
    return 0;
  for (const StoredVersion &V : Found->second.Versions) {
    if (V.Revision <= Revision)
      Number = V.Number;
  }
  return Number;
}

std::string defaultEditId(std::string_view Text) { return sha256Hex(Text); }

std::string encodeCommand(const PutDocumentCommand &C) {
  CommandRecord R;
  R.Service = C.Service;
  R.Number = C.Number;
  R.EditId = C.EditId;
  R.Text.Data = C.Text;
  R.AtMs = toMilliseconds(C.At);
  return wire::toBytes(R);
}

Result<PutDocumentCommand> decodeCommand(std::string_view Bytes) {
  auto Read = wire::fromBytes<CommandRecord>(Bytes, CommandLimits);
  if (!Read)
    return Read.error();
  if (Read->Version != CommandVersion)
    return fail(Code::WireVersion, "the command's version is not known");
  return PutDocumentCommand{Read->Service, Read->Number, Read->EditId,
                            Read->Text.Data, milliseconds(Read->AtMs)};
}

std::string encodeStore(const Store &S) {
  StoreRecord R;
  R.Revision = S.Revision;
  R.ClockMs = toMilliseconds(S.Clock);
  for (const auto &[Service, History] : S.Services) {
    ServiceRecord &Into = R.Services.emplace_back();
    Into.Service = Service;
    for (const StoredVersion &V : History.Versions)
      Into.Versions.push_back({V.Number,
                               V.Revision,
                               V.EditId,
                               V.TextSha256,
                               toMilliseconds(V.At),
                               {V.Text}});
    for (const RecordedAnswer &A : History.Answers)
      Into.Answers.push_back({A.EditId, A.TextSha256, A.Result, A.Number,
                              A.Revision, toMilliseconds(A.At)});
  }
  return wire::toBytes(R);
}

Result<Store> decodeStore(std::string_view Bytes) {
  auto Read = wire::fromBytes<StoreRecord>(Bytes, SnapshotLimits);
  if (!Read)
    return Read.error();
  if (Read->Version != SnapshotVersion)
    return fail(Code::WireVersion, "the snapshot's version is not known");
  Store S;
  S.Revision = Read->Revision;
  S.Clock = milliseconds(Read->ClockMs);
  for (ServiceRecord &From : Read->Services) {
    ServiceHistory &Into = S.Services[From.Service];
    for (VersionRecord &V : From.Versions)
      Into.Versions.push_back({V.Number, V.Revision, V.EditId, V.TextSha256,
                               milliseconds(V.AtMs), std::move(V.Text.Data)});
    for (const AnswerRecord &A : From.Answers)
      recordAnswer(Into, {A.EditId, A.TextSha256, A.Result, A.Number,
                          A.Revision, milliseconds(A.AtMs)});
  }
  return S;
}

} // namespace pimento
