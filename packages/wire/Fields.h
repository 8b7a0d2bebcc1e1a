//===- Fields.h - Conversion of structs to CBOR -----------------*- C++ -*-===//
//
// Internal. A struct that is sent or stored lists its fields in one function:
//
//   struct Ping {
//     static constexpr std::uint16_t WireType = 201; // Messages only.
//     std::uint64_t Sequence = 0;
//     template <class Self, class Visitor>
//     static void fields(Self &M, Visitor &&Visit) {
//       Visit(M.Sequence);
//     }
//   };
//
// The struct is encoded as a CBOR array of its fields in that order, durations
// as whole microseconds. New fields may only be appended: a reader ignores
// fields that it does not know and keeps the default of a field that an older
// writer did not send.
//
// Include this header in .cpp files only, because it is slow to compile.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Ids.h"
#include "base/Json.h"
#include "base/Time.h"
#include "wire/Blob.h"

#include <limits>
#include <optional>
#include <type_traits>
#include <variant>
#include <vector>

namespace pimento::wire {

/// Visitor without effect, used by HasFields to detect T::fields().
struct IgnoreFields {
  template <class... Fields> void operator()(Fields &...) const {}
};

template <class T, class = void> struct HasFields : std::false_type {};
template <class T>
struct HasFields<
    T, std::void_t<decltype(T::fields(std::declval<T &>(), IgnoreFields()))>>
    : std::true_type {};

template <class T> struct IsVector : std::false_type {};
template <class T> struct IsVector<std::vector<T>> : std::true_type {};
template <class T> struct IsOptional : std::false_type {};
template <class T> struct IsOptional<std::optional<T>> : std::true_type {};
template <class T> struct IsStringId : std::false_type {};
template <class Tag> struct IsStringId<StringId<Tag>> : std::true_type {};

template <class T> Json toJson(const T &Value) {
  if constexpr (IsStringId<T>::value) {
    return Value.Value;
  } else if constexpr (std::is_same_v<T, RequestId>) {
    return Json::array({Value.Hi, Value.Lo});
  } else if constexpr (std::is_same_v<T, AttemptId>) {
    return Json::array({Value.Request.Hi, Value.Request.Lo, Value.Number});
  } else if constexpr (std::is_same_v<T, Blob>) {
    return Json::binary({Value.Data.begin(), Value.Data.end()});
  } else if constexpr (std::is_same_v<T, Duration>) {
    return toMicroseconds(Value);
  } else if constexpr (std::is_enum_v<T>) {
    return static_cast<std::uint64_t>(Value);
  } else if constexpr (IsVector<T>::value) {
    Json Array = Json::array();
    for (const auto &Element : Value)
      Array.push_back(toJson(Element));
    return Array;
  } else if constexpr (IsOptional<T>::value) {
    return Value ? toJson(*Value) : Json(nullptr);
  } else if constexpr (HasFields<T>::value) {
    Json Array = Json::array();
    T::fields(Value, [&](const auto &...Field) {
      (Array.push_back(toJson(Field)), ...);
    });
    return Array;
  } else {
    return Json(Value);
  }
}

/// Converts \p From to \p Value. Returns false if the type or range does not
/// fit; \p Value may then be partly changed.
template <class T> bool fromJson(const Json &From, T &Value);

template <class T> bool integerFromJson(const Json &From, T &Value) {
  if (From.is_number_unsigned()) {
    auto Number = From.get<std::uint64_t>();
    if (Number > static_cast<std::uint64_t>(std::numeric_limits<T>::max()))
      return false;
    Value = static_cast<T>(Number);
    return true;
  }
  if (!From.is_number_integer())
    return false;
  auto Number = From.get<std::int64_t>();
  if constexpr (std::is_unsigned_v<T>) {
    return false;
  } else {
    if (Number < std::numeric_limits<T>::min())
      return false;
    Value = static_cast<T>(Number);
    return true;
  }
}

template <class T> bool structFromJson(const Json &From, T &Value) {
  if (!From.is_array())
    return false;
  std::size_t Index = 0;
  bool Valid = true;
  auto ReadField = [&](auto &Field) {
    if (Valid && Index < From.size())
      Valid = fromJson(From[Index], Field);
    ++Index;
  };
  T::fields(Value, [&](auto &...Field) { (ReadField(Field), ...); });
  return Valid;
}

template <class T> bool vectorFromJson(const Json &From, T &Value) {
  if (!From.is_array())
    return false;
  Value.clear();
  Value.reserve(From.size());
  for (const Json &Element : From) {
    typename T::value_type Read{};
    if (!fromJson(Element, Read))
      return false;
    Value.push_back(std::move(Read));
  }
  return true;
}

template <class T> bool fromJson(const Json &From, T &Value) {
  if constexpr (IsStringId<T>::value) {
    return fromJson(From, Value.Value);
  } else if constexpr (std::is_same_v<T, std::string>) {
    if (!From.is_string())
      return false;
    Value = From.get_ref<const std::string &>();
    return true;
  } else if constexpr (std::is_same_v<T, bool>) {
    if (!From.is_boolean())
      return false;
    Value = From.get<bool>();
    return true;
  } else if constexpr (std::is_same_v<T, RequestId>) {
    return From.is_array() && From.size() == 2 && fromJson(From[0], Value.Hi) &&
           fromJson(From[1], Value.Lo);
  } else if constexpr (std::is_same_v<T, AttemptId>) {
    return From.is_array() && From.size() == 3 &&
           fromJson(From[0], Value.Request.Hi) &&
           fromJson(From[1], Value.Request.Lo) &&
           fromJson(From[2], Value.Number);
  } else if constexpr (std::is_same_v<T, Blob>) {
    if (!From.is_binary())
      return false;
    const auto &Bytes = From.get_binary();
    Value.Data.assign(Bytes.begin(), Bytes.end());
    return true;
  } else if constexpr (std::is_same_v<T, Duration>) {
    std::int64_t Count = 0;
    constexpr std::int64_t Limit = 1000000LL * 86400 * 3660; // Ten years.
    if (!integerFromJson(From, Count) || Count > Limit || Count < -Limit)
      return false;
    Value = microseconds(Count);
    return true;
  } else if constexpr (std::is_enum_v<T>) {
    std::underlying_type_t<T> Number{};
    if (!integerFromJson(From, Number))
      return false;
    Value = static_cast<T>(Number);
    return true;
  } else if constexpr (std::is_integral_v<T>) {
    return integerFromJson(From, Value);
  } else if constexpr (std::is_floating_point_v<T>) {
    if (!From.is_number())
      return false;
    Value = From.get<T>();
    return true;
  } else if constexpr (IsVector<T>::value) {
    return vectorFromJson(From, Value);
  } else if constexpr (IsOptional<T>::value) {
    if (From.is_null()) {
      Value.reset();
      return true;
    }
    return fromJson(From, Value.emplace());
  } else {
    return structFromJson(From, Value);
  }
}

/// Encodes a struct as CBOR, for the replicated log and its snapshots.
template <class T> std::string toBytes(const T &Value) {
  std::string Bytes;
  Json::to_cbor(toJson(Value), Bytes);
  return Bytes;
}

/// Decodes the output of toBytes(). Fails with WireTooLarge if the bytes exceed
/// \p Limits, and with WireMalformed if they are not CBOR or do not fit T.
template <class T>
Result<T> fromBytes(std::string_view Bytes, const JsonLimits &Limits) {
  auto Parsed = parseCbor(Bytes, Limits);
  if (!Parsed)
    return Parsed.error();
  T Value{};
  if (!fromJson(*Parsed, Value))
    return fail(Code::WireMalformed,
                "a field has the wrong type or is out of range");
  return Value;
}

} // namespace pimento::wire
