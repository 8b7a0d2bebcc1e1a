#include "calls/Claims.h"
#include "wire/Fields.h"

#include <algorithm>

namespace pimento::calls {

namespace {

constexpr std::size_t MaxSnapshotBytes = 1U << 30U;
constexpr JsonLimits SnapshotLimits = {MaxSnapshotBytes, /*Depth=*/8,
                                       /*Values=*/1U << 26U};

struct SavedRecord {
  ClaimKey Key;
  ClaimRecord Record;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Key, M.Record);
  }
};

struct SavedClaims {
  Duration Clock = Duration::zero();
  std::vector<SavedRecord> Records;
  std::vector<std::vector<ClaimKey>> Queues; // Front first.
  Blob UsedKeys;                             // Sorted; 16 bytes each.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Clock, M.Records, M.Queues, M.UsedKeys);
  }
};

constexpr std::size_t WordBytes = 8;

void appendWord(std::string &Bytes, std::uint64_t Word) {
  for (std::size_t I = 0; I < WordBytes; ++I)
    Bytes += static_cast<char>((Word >> (8 * I)) & 0xffU);
}

std::uint64_t readWord(const std::string &Bytes, std::size_t At) {
  std::uint64_t Word = 0;
  for (std::size_t I = 0; I < WordBytes; ++I)
    Word |=
        static_cast<std::uint64_t>(static_cast<unsigned char>(Bytes[At + I]))
        << (8 * I);
  return Word;
}

bool isLive(const ClaimRecord &Record) {
  return Record.Phase == ClaimPhase::Waiting ||
         Record.Phase == ClaimPhase::Turn;
}

/// Whether the queues hold each live record exactly once and nothing else.
bool queuesFit(const ClaimsState &State) {
  std::size_t Queued = 0;
  for (const auto &[Name, Keys] : State.Queues) {
    for (const ClaimKey &Key : Keys) {
      auto Found = State.Records.find(Key);
      if (Found == State.Records.end() || !isLive(Found->second) ||
          Name != ClaimQueue(Key.Service, Key.Account))
        return false;
      ++Queued;
    }
  }
  std::size_t Live = 0;
  for (const auto &[Key, Record] : State.Records)
    Live += isLive(Record) ? 1 : 0;
  return Queued == Live;
}

void restoreRecords(ClaimsState &State, std::vector<SavedRecord> &Saved) {
  for (SavedRecord &Entry : Saved) {
    State.AnswerBytes += Entry.Record.Body.Data.size();
    // An expired record that was kept for lack of room in UsedKeys has no
    // expiry entry.
    if (!isLive(Entry.Record) && Entry.Record.Expires > State.Clock)
      State.Expiries.insert({Entry.Record.Expires, Entry.Key});
    State.Records.emplace(std::move(Entry.Key), std::move(Entry.Record));
  }
}

} // namespace

Blob encodeClaims(const ClaimsState &State) {
  SavedClaims Saved;
  Saved.Clock = State.Clock;
  for (const auto &[Key, Record] : State.Records)
    Saved.Records.push_back({Key, Record});
  for (const auto &[Name, Keys] : State.Queues)
    Saved.Queues.emplace_back(Keys.begin(), Keys.end());
  std::vector<KeyDigest> Used(State.UsedKeys.begin(), State.UsedKeys.end());
  std::sort(Used.begin(), Used.end());
  for (const KeyDigest &Digest : Used) {
    appendWord(Saved.UsedKeys.Data, Digest[0]);
    appendWord(Saved.UsedKeys.Data, Digest[1]);
  }
  return {wire::toBytes(Saved)};
}

Result<ClaimsState> decodeClaims(const Blob &Snapshot,
                                 const ClaimLimits &Limits) {
  BOOST_LEAF_AUTO(Saved,
                  wire::fromBytes<SavedClaims>(Snapshot.Data, SnapshotLimits));
  ClaimsState State;
  State.Limits = Limits;
  State.Clock = Saved.Clock;
  restoreRecords(State, Saved.Records);
  for (const std::vector<ClaimKey> &Keys : Saved.Queues) {
    if (Keys.empty())
      return fail(Code::WireMalformed, "the claim snapshot has an empty queue");
    State.Queues[{Keys[0].Service, Keys[0].Account}].assign(Keys.begin(),
                                                            Keys.end());
  }
  const std::string &Used = Saved.UsedKeys.Data;
  if (Used.size() % (2 * WordBytes) != 0 || !queuesFit(State))
    return fail(Code::WireMalformed,
                "queues and records of the claim snapshot do not match, or its "
                "used keys are truncated");
  for (std::size_t At = 0; At < Used.size(); At += 2 * WordBytes)
    State.UsedKeys.insert({readWord(Used, At), readWord(Used, At + WordBytes)});
  return State;
}

} // namespace pimento::calls
