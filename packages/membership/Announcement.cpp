#include "membership/Announcement.h"

#include "base/Json.h"
#include "base/SettingText.h"
#include "base/Settings.h"

#include <algorithm>

namespace pimento {

namespace {

constexpr JsonLimits AnnouncementLimits = {MaxAnnouncementBytes, /*Depth=*/4,
                                           /*Values=*/4096};

/// Reads the keys of a JSON object and collects the faults found.
class AnnouncementReader {
public:
  explicit AnnouncementReader(const Json &Object) : From(Object) {}

  std::string text(const char *Key, bool Required) {
    auto Found = From.find(Key);
    if (Found == From.end()) {
      if (Required)
        fault(Key, "is missing");
      return {};
    }
    if (!isName(*Found)) {
      fault(Key, "must be a string of 1 to 128 printable bytes");
      return {};
    }
    return Found->get<std::string>();
  }

  std::uint64_t number(const char *Key, bool Required,
                       std::uint64_t Most = UINT64_MAX) {
    auto Found = From.find(Key);
    if (Found == From.end()) {
      if (Required)
        fault(Key, "is missing");
      return 0;
    }
    if (!Found->is_number_unsigned() || Found->get<std::uint64_t>() > Most) {
      fault(Key, "must be an unsigned integer within its range");
      return 0;
    }
    return Found->get<std::uint64_t>();
  }

  bool flag(const char *Key) {
    auto Found = From.find(Key);
    if (Found == From.end())
      return false;
    if (!Found->is_boolean())
      fault(Key, "must be true or false");
    return Found->is_boolean() && Found->get<bool>();
  }

  /// The list at \p Key; empty where the key is absent.
  const Json &list(const char *Key, std::size_t Most) {
    static const Json Empty = Json::array();
    auto Found = From.find(Key);
    if (Found == From.end())
      return Empty;
    if (Found->is_array() && Found->size() <= Most)
      return *Found;
    fault(Key, "must be a list of at most " + std::to_string(Most));
    return Empty;
  }

  const Json &object(const char *Key) {
    static const Json Empty = Json::object();
    auto Found = From.find(Key);
    if (Found == From.end() || Found->is_null())
      return Empty;
    if (Found->is_object())
      return *Found;
    fault(Key, "must be an object");
    return Empty;
  }

  void fault(const std::string &Key, const std::string &What) {
    Faults += (Faults.empty() ? "" : "; ") + Key + " " + What;
  }

  static bool isName(const Json &Value) {
    if (!Value.is_string())
      return false;
    const auto &Text = Value.get_ref<const std::string &>();
    return !Text.empty() && Text.size() <= MaxAnnouncedNameBytes &&
           std::all_of(Text.begin(), Text.end(), [](char C) {
             return static_cast<unsigned char>(C) >= 0x20 && C != 0x7f;
           });
  }

  std::string Faults; // Separated by semicolons.

private:
  const Json &From;
};

void readModels(AnnouncementReader &R, Announcement &A) {
  for (const Json &Model : R.list("models", MaxAnnouncedModels)) {
    if (AnnouncementReader::isName(Model))
      A.Models.emplace_back(Model.get<std::string>());
    else
      R.fault("models", "must hold strings of 1 to 128 printable bytes");
  }
}

/// Parses a hash: a 64-bit unsigned integer as a decimal string.
bool readHash(const Json &From, std::uint64_t &Hash) {
  constexpr std::size_t MaxDigits = 20;
  if (!From.is_string())
    return false;
  const auto &Text = From.get_ref<const std::string &>();
  if (Text.empty() || Text.size() > MaxDigits)
    return false;
  Hash = 0;
  for (char C : Text) {
    if (C < '0' || C > '9')
      return false;
    auto Digit = static_cast<std::uint64_t>(C - '0');
    if (Hash > (UINT64_MAX - Digit) / 10)
      return false;
    Hash = Hash * 10 + Digit;
  }
  return true;
}

void readHashes(AnnouncementReader &R, const char *Key,
                std::vector<std::uint64_t> &Into) {
  for (const Json &Element : R.list(Key, MaxCacheEvents)) {
    std::uint64_t Hash = 0;
    if (readHash(Element, Hash))
      Into.push_back(Hash);
    else
      R.fault(Key, "must hold 64-bit integers as decimal strings");
  }
}

void readLoad(AnnouncementReader &R, Announcement &A) {
  AnnouncementReader Load(R.object("load"));
  auto MostAge = static_cast<std::uint64_t>(toMilliseconds(MaxAnnouncedAge));
  A.Load.Age = milliseconds(Load.number("age_ms", false, MostAge));
  A.Load.UsedTokens = Load.number("used_tokens", false);
  A.Load.Running =
      static_cast<std::uint32_t>(Load.number("running", false, UINT32_MAX));
  A.Load.Waiting =
      static_cast<std::uint32_t>(Load.number("waiting", false, UINT32_MAX));
  if (!Load.Faults.empty())
    R.fault("load:", Load.Faults);
  AnnouncementReader Cache(R.object("cache"));
  A.Load.CacheSequence = Cache.number("sequence", false);
  readHashes(Cache, "added", A.Load.CacheAdded);
  readHashes(Cache, "removed", A.Load.CacheRemoved);
  if (!Cache.Faults.empty())
    R.fault("cache:", Cache.Faults);
}

void readKind(AnnouncementReader &R, Announcement &A) {
  std::string Kind = R.text("kind", true);
  if (Kind == "plain")
    A.Kind = BackendKind::Plain;
  else if (!Kind.empty() && Kind != "engine")
    R.fault("kind", "must be \"engine\" or \"plain\"");
}

void readTop(AnnouncementReader &R, Announcement &A) {
  A.Id = BackendId(R.text("id", true));
  A.Incarnation = R.number("incarnation", true);
  A.Sequence = R.number("sequence", true);
  A.Address = R.text("address", true);
  if (!A.Address.empty() && !isAddress(A.Address))
    R.fault("address", "must be ip:port");
  readKind(R, A);
  A.DataCentre = DataCentreId(R.text("data_centre", false));
  A.ChecksFence = R.flag("checks_fence");
  A.Leaving = R.flag("leaving");
  if (A.Kind == BackendKind::Plain) {
    A.Service = ServiceId(R.text("service", true));
    return;
  }
  readModels(R, A);
  A.MemoryTokens = R.number("memory_tokens", true);
  readLoad(R, A);
  A.Load.Backend = A.Id;
  A.Load.Incarnation = A.Incarnation;
  A.Load.Sequence = A.Sequence;
}

} // namespace

Result<Announcement> parseAnnouncement(std::string_view Text) {
  auto Parsed = parseJson(Text, AnnouncementLimits);
  if (!Parsed)
    return Parsed.error();
  if (!Parsed->is_object())
    return fail(Code::BadRequest, "the announcement is not a JSON object");
  Announcement A;
  AnnouncementReader R(*Parsed);
  readTop(R, A);
  if (!R.Faults.empty())
    return fail(Code::BadRequest, R.Faults);
  return A;
}

} // namespace pimento
