#include "base/Json.h"

namespace pimento {

namespace {

/// SAX handler that builds a value and counts depth and values. A handler
/// function that returns false stops the parser.
class LimitedReader : public nlohmann::detail::json_sax_dom_parser<Json> {
  using Base = nlohmann::detail::json_sax_dom_parser<Json>;

public:
  LimitedReader(Json &Into, const JsonLimits &Bounds)
      : Base(Into, /*allow_exceptions_=*/false), Limits(Bounds) {}

  bool null() { return count() && Base::null(); }
  bool boolean(bool V) { return count() && Base::boolean(V); }
  bool number_integer(Json::number_integer_t V) {
    return count() && Base::number_integer(V);
  }
  bool number_unsigned(Json::number_unsigned_t V) {
    return count() && Base::number_unsigned(V);
  }
  bool number_float(Json::number_float_t V, const std::string &S) {
    return count() && Base::number_float(V, S);
  }
  bool string(std::string &V) { return count() && Base::string(V); }
  bool binary(Json::binary_t &V) { return count() && Base::binary(V); }
  bool key(std::string &V) { return count() && Base::key(V); }
  bool start_object(std::size_t Size) {
    return enter(Size) && Base::start_object(Size);
  }
  bool end_object() {
    --Depth;
    return Base::end_object();
  }
  bool start_array(std::size_t Size) {
    return enter(Size) && Base::start_array(Size);
  }
  bool end_array() {
    --Depth;
    return Base::end_array();
  }

  bool limitExceeded() const { return LimitExceeded; }

private:
  bool count() {
    LimitExceeded = LimitExceeded || ++Values > Limits.Values;
    return !LimitExceeded;
  }

  bool enter(std::size_t Size) {
    constexpr auto UnknownSize = static_cast<std::size_t>(-1);
    bool DeclaredTooLarge = Size != UnknownSize && Size > Limits.Values;
    LimitExceeded = LimitExceeded || DeclaredTooLarge || ++Depth > Limits.Depth;
    return count();
  }

  JsonLimits Limits;
  std::size_t Depth = 0;
  std::size_t Values = 0;
  bool LimitExceeded = false;
};

enum class ParseOutcome { Parsed, Malformed, OverLimit };

ParseOutcome read(std::string_view Text, Json::input_format_t Format,
                  const JsonLimits &Limits, Json &Value) {
  LimitedReader Reader(Value, Limits);
  bool Parsed = Json::sax_parse(Text.begin(), Text.end(), &Reader, Format);
  if (Reader.limitExceeded())
    return ParseOutcome::OverLimit;
  return Parsed ? ParseOutcome::Parsed : ParseOutcome::Malformed;
}

} // namespace

Result<Json> parseJson(std::string_view Text, const JsonLimits &Limits) {
  if (Text.size() > Limits.Bytes)
    return fail(Code::BodyTooLarge,
                "the JSON text has " + std::to_string(Text.size()) +
                    " bytes; the limit is " + std::to_string(Limits.Bytes));
  Json Value;
  switch (read(Text, Json::input_format_t::json, Limits, Value)) {
  case ParseOutcome::Parsed:
    return Value;
  case ParseOutcome::OverLimit:
    return fail(Code::BadRequest,
                "the JSON nests deeper than the depth limit, or has more "
                "values and keys than the value limit");
  case ParseOutcome::Malformed:
    break;
  }
  return fail(Code::BadRequest,
              "expected JSON, found malformed or truncated text");
}

Result<Json> parseCbor(std::string_view Bytes, const JsonLimits &Limits) {
  if (Bytes.size() > Limits.Bytes)
    return fail(Code::WireTooLarge,
                "the CBOR message has " + std::to_string(Bytes.size()) +
                    " bytes; the limit is " + std::to_string(Limits.Bytes));
  Json Value;
  switch (read(Bytes, Json::input_format_t::cbor, Limits, Value)) {
  case ParseOutcome::Parsed:
    return Value;
  case ParseOutcome::OverLimit:
    return fail(Code::WireTooLarge,
                "the CBOR nests deeper than the depth limit, or has more "
                "values and keys than the value limit");
  case ParseOutcome::Malformed:
    break;
  }
  return fail(Code::WireMalformed,
              "expected CBOR, found malformed or truncated bytes");
}

} // namespace pimento
