#include "document/DocumentReader.h"

#include <algorithm>
#include <cstring>

namespace pimento {

namespace {

constexpr std::size_t MaxQuotedBytes = 60; // Of a value in an error text.

/// \p Value as JSON, shortened for an error text. Never throws; invalid UTF-8
/// is replaced.
std::string quoted(const Json &Value) {
  std::string Text = Value.dump(-1, ' ', true, Json::error_handler_t::replace);
  if (Text.size() <= MaxQuotedBytes)
    return Text;
  return Text.substr(0, MaxQuotedBytes) + "...";
}

std::string rangeText(DocumentReader::Range Allowed) {
  return "a whole number from " + std::to_string(Allowed.Least) + " to " +
         std::to_string(Allowed.Most);
}

bool isPrintable(const std::string &Text) {
  return std::all_of(Text.begin(), Text.end(), [](char C) {
    return static_cast<unsigned char>(C) >= 0x20 && C != 0x7f;
  });
}

} // namespace

void DocumentReader::error(const std::string &Key, std::string Expected,
                           std::string Found) {
  if (Errors.size() >= MaxDocumentErrors)
    return;
  std::string Where = Path;
  if (!Key.empty())
    Where += (Where.empty() ? "" : ".") + Key;
  Errors.push_back({Where, std::move(Expected), std::move(Found)});
}

void DocumentReader::expectKeys(const Json &From,
                                std::initializer_list<const char *> Known) {
  for (const auto &Item : From.items()) {
    bool Found = std::any_of(Known.begin(), Known.end(), [&](const char *Key) {
      return Item.key() == Key;
    });
    if (!Found)
      error(quoted(Json(Item.key())), "no such key", "an unknown key");
  }
}

void DocumentReader::rejectKey(const Json &From, const char *Key,
                               const char *Kind) {
  if (From.contains(Key))
    error(Key, std::string("only in a service of kind \"") + Kind + "\"",
          "the key");
}

std::uint64_t DocumentReader::required(const Json &From, const char *Key,
                                       Range Allowed) {
  if (!From.contains(Key)) {
    error(Key, rangeText(Allowed), "nothing");
    return Allowed.Least;
  }
  return number(From, Key, Allowed, Allowed.Least);
}

std::uint64_t DocumentReader::number(const Json &From, const char *Key,
                                     Range Allowed, std::uint64_t Default) {
  auto Found = From.find(Key);
  if (Found == From.end())
    return Default;
  if (!Found->is_number_unsigned() ||
      Found->get<std::uint64_t>() < Allowed.Least ||
      Found->get<std::uint64_t>() > Allowed.Most) {
    error(Key, rangeText(Allowed), quoted(*Found));
    return Default;
  }
  return Found->get<std::uint64_t>();
}

double DocumentReader::share(const Json &From, const char *Key,
                             double Default) {
  auto Found = From.find(Key);
  if (Found == From.end())
    return Default;
  if (!Found->is_number() || !(Found->get<double>() >= 0.0) ||
      !(Found->get<double>() <= 1.0)) {
    error(Key, "a number from 0 to 1", quoted(*Found));
    return Default;
  }
  return Found->get<double>();
}

bool DocumentReader::flag(const Json &From, const char *Key) {
  auto Found = From.find(Key);
  if (Found != From.end() && Found->is_boolean())
    return Found->get<bool>();
  error(Key, "true or false",
        Found == From.end() ? std::string("nothing") : quoted(*Found));
  return false;
}

bool DocumentReader::checkText(const Json &Value, const std::string &Key,
                               bool AllowEmpty) {
  if (!Value.is_string()) {
    error(Key, "a text", quoted(Value));
    return false;
  }
  const auto &Text = Value.get_ref<const std::string &>();
  if ((Text.empty() && !AllowEmpty) || Text.size() > MaxDocumentIdBytes ||
      !isPrintable(Text)) {
    error(Key,
          "a text of " + std::string(AllowEmpty ? "0" : "1") + " to " +
              std::to_string(MaxDocumentIdBytes) +
              " bytes without control characters",
          quoted(Value));
    return false;
  }
  return true;
}

std::string DocumentReader::text(const Json &From, const char *Key,
                                 bool AllowEmpty) {
  auto Found = From.find(Key);
  if (Found == From.end()) {
    error(Key, "a text", "nothing");
    return {};
  }
  return checkText(*Found, Key, AllowEmpty) ? Found->get<std::string>()
                                            : std::string();
}

std::vector<std::string> DocumentReader::texts(const Json &From,
                                               const char *Key,
                                               std::size_t Most,
                                               std::size_t Least) {
  std::vector<std::string> Texts;
  const Json *List = array(From, Key, {Least, Most});
  if (!List)
    return Texts;
  for (std::size_t I = 0; I < List->size() && I < Most; ++I) {
    std::string Where = std::string(Key) + "[" + std::to_string(I) + "]";
    if (checkText((*List)[I], Where, /*AllowEmpty=*/false))
      Texts.push_back((*List)[I].get<std::string>());
  }
  return Texts;
}

const Json *DocumentReader::object(const Json &From, const char *Key,
                                   bool Required) {
  auto Found = From.find(Key);
  if (Found != From.end() && Found->is_object())
    return &*Found;
  if (Found != From.end())
    error(Key, "an object", quoted(*Found));
  else if (Required)
    error(Key, "an object", "nothing");
  return nullptr;
}

const Json *DocumentReader::array(const Json &From, const char *Key,
                                  Range Allowed) {
  std::string Expected = "a list of " + std::to_string(Allowed.Least) + " to " +
                         std::to_string(Allowed.Most) + " elements";
  auto Found = From.find(Key);
  if (Found == From.end()) {
    if (Allowed.Least > 0)
      error(Key, Expected, "nothing");
    return nullptr;
  }
  if (!Found->is_array()) {
    error(Key, Expected, quoted(*Found));
    return nullptr;
  }
  if (Found->size() < Allowed.Least || Found->size() > Allowed.Most)
    error(Key, Expected, std::to_string(Found->size()) + " elements");
  return &*Found;
}

void UniqueNames::add(const std::string &Name) {
  if (Name.empty())
    return; // Reported as an invalid text already.
  auto Added = Seen.emplace(Name, Index);
  if (Added.second)
    return;
  DocumentReader::Scope Inside(R, std::string(List) + "[" +
                                      std::to_string(Index) + "]");
  R.error(Key, "a unique name",
          Name + ", as in " + List + "[" + std::to_string(Added.first->second) +
              "]");
}

} // namespace pimento
