//===- DocumentReader.h - Reads JSON and gathers errors ---------*- C++ -*-===//
//
// Internal to the package. Reads one key at a time. An invalid value is added
// to the list of errors with its path and a usable default is returned, so that
// one pass finds every error. Includes the JSON library, which compiles slowly:
// include this header in .cpp files only.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Json.h"
#include "document/Document.h"

#include <initializer_list>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace pimento {

class DocumentReader {
public:
  /// Inclusive bounds of a number or of a list's length.
  struct Range {
    std::uint64_t Least = 0;
    std::uint64_t Most = 0;
  };

  /// Prepends a part to the path of every error reported during its lifetime.
  class Scope {
  public:
    Scope(DocumentReader &Reader, const std::string &Part)
        : R(Reader), Length(Reader.Path.size()) {
      R.Path += (Length == 0 || Part.front() == '[' ? "" : ".") + Part;
    }
    ~Scope() { R.Path.resize(Length); }
    Scope(const Scope &) = delete;
    Scope &operator=(const Scope &) = delete;

  private:
    DocumentReader &R;
    std::size_t Length;
  };

  explicit DocumentReader(std::vector<DocumentError> &Into) : Errors(Into) {}

  void error(const std::string &Key, std::string Expected, std::string Found);

  /// Reports every key of \p From that is not one of \p Known.
  void expectKeys(const Json &From, std::initializer_list<const char *> Known);
  /// Reports \p Key if it is present, since only \p Kind services may have it.
  void rejectKey(const Json &From, const char *Key, const char *Kind);

  std::uint64_t required(const Json &From, const char *Key, Range Allowed);
  std::uint64_t number(const Json &From, const char *Key, Range Allowed,
                       std::uint64_t Default);
  /// Reads a number from 0 to 1.
  double share(const Json &From, const char *Key, double Default);
  bool flag(const Json &From, const char *Key);
  std::string text(const Json &From, const char *Key, bool AllowEmpty = false);
  std::vector<std::string> texts(const Json &From, const char *Key,
                                 std::size_t Most, std::size_t Least = 0);
  const Json *object(const Json &From, const char *Key, bool Required);

  template <class Id> void id(const Json &From, const char *Key, Id &Into) {
    Into = Id(text(From, Key));
  }

  template <class Id>
  void ids(const Json &From, const char *Key, std::size_t Most,
           std::vector<Id> &Into) {
    for (std::string &Text : texts(From, Key, Most))
      Into.emplace_back(std::move(Text));
  }

  /// Calls \p Read for each element and reports elements that are not objects.
  /// A list that may be empty may be absent as well.
  template <class F>
  void list(const Json &From, const char *Key, Range Allowed, F &&Read) {
    const Json *List = array(From, Key, Allowed);
    if (!List)
      return;
    Scope Inside(*this, Key);
    for (std::size_t I = 0; I < List->size() && I < Allowed.Most; ++I) {
      Scope Element(*this, "[" + std::to_string(I) + "]");
      if ((*List)[I].is_object())
        Read((*List)[I]);
      else
        error("", "an object", (*List)[I].type_name());
    }
  }

private:
  const Json *array(const Json &From, const char *Key, Range Allowed);
  bool checkText(const Json &Value, const std::string &Key, bool AllowEmpty);

  std::vector<DocumentError> &Errors;
  std::string Path;
};

/// Reports names that occur more than once in a list of entries, also within
/// one entry.
class UniqueNames {
public:
  UniqueNames(DocumentReader &Reader, const char *TheList, const char *TheKey)
      : R(Reader), List(TheList), Key(TheKey) {}

  void add(const std::string &Name);
  void next() { ++Index; }

private:
  DocumentReader &R;
  const char *List;
  const char *Key;
  std::size_t Index = 0;
  std::map<std::string, std::size_t> Seen; // Name to index of its first entry.
};

} // namespace pimento
