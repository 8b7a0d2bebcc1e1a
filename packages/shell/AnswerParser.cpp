#include "shell/AnswerParser.h"

#include "answer/AnswerStatus.h"

#include <boost/beast/http/basic_parser.hpp>

#include <algorithm>
#include <string>

namespace pimento {

namespace {

namespace http = boost::beast::http;
using boost::beast::error_code;
using boost::beast::string_view;

constexpr std::uint32_t MaxHeaderBytes = 64U << 10U;
constexpr int FirstVersionWithChunks = 11;
/// Bytes that may wait for the end of a line, such as that of a chunk's length.
constexpr std::size_t MaxUnparsedBytes = MaxHeaderBytes;

bool isNumber(std::string_view Text) {
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), [](char C) {
    return C >= '0' && C <= '9';
  });
}

class Parser : public http::basic_parser<false> {
public:
  explicit Parser(AnswerHooks &TheHooks) : Hooks(TheHooks) {
    body_limit(boost::none);
    header_limit(MaxHeaderBytes);
    eager(true);
  }

private:
  void on_request_impl(http::verb, string_view, string_view, int,
                       error_code &) override {}
  void on_response_impl(int Code, string_view, int TheVersion,
                        error_code &Error) override {
    Status = Code;
    Version = TheVersion;
    if (!isStatus(Code))
      Error = http::error::bad_status;
  }
  void on_field_impl(http::field, string_view Name, string_view Value,
                     error_code &) override {
    Headers.push_back({std::string(Name), std::string(Value)});
  }
  void on_header_impl(error_code &Error) override {
    if (hasCertainEnd())
      Hooks.Head(Status, std::move(Headers));
    else
      Error = http::error::bad_transfer_encoding;
  }
  /// Whether the head leaves no choice of where the answer ends: Beast takes a
  /// coding that it does not know for the end of the connection.
  bool hasCertainEnd() const {
    int Lengths = 0; // A value that is no number counts as several.
    int Codings = 0;
    bool IsChunked = true;
    for (const HttpHeader &H : Headers) {
      if (sameHeaderName(H.Name, "Content-Length"))
        Lengths += isNumber(H.Value) ? 1 : 2;
      if (!sameHeaderName(H.Name, "Transfer-Encoding"))
        continue;
      ++Codings;
      IsChunked = IsChunked && sameHeaderName(H.Value, "chunked");
    }
    bool MayBeChunked = IsChunked && Version >= FirstVersionWithChunks;
    return Lengths + Codings <= 1 && (Codings == 0 || MayBeChunked);
  }
  void on_body_init_impl(const boost::optional<std::uint64_t> &,
                         error_code &) override {}
  std::size_t on_body_impl(string_view Bytes, error_code &) override {
    Hooks.Body({Bytes.data(), Bytes.size()});
    return Bytes.size();
  }
  void on_chunk_header_impl(std::uint64_t, string_view, error_code &) override {
  }
  std::size_t on_chunk_body_impl(std::uint64_t, string_view Bytes,
                                 error_code &) override {
    Hooks.Body({Bytes.data(), Bytes.size()});
    return Bytes.size();
  }
  void on_finish_impl(error_code &) override {}

  AnswerHooks &Hooks;
  int Status = 0;
  int Version = 0;
  std::vector<HttpHeader> Headers;
};

/// Looks for folded fields, which Beast joins to one line: other readers take
/// the rest for a field of its own, or drop it.
struct FoldWatch {
  bool IsFolded = false;
  bool HasEnded = false; // The head is whole.
  std::size_t LineBytes = 0;

  void feed(std::string_view Bytes) {
    for (char C : Bytes) {
      if (HasEnded)
        return;
      IsFolded = IsFolded || (LineBytes == 0 && (C == ' ' || C == '\t'));
      HasEnded = C == '\n' && LineBytes == 0;
      if (C == '\n')
        LineBytes = 0;
      else if (C != '\r')
        ++LineBytes;
    }
  }
};

} // namespace

struct AnswerParser::Impl {
  explicit Impl(AnswerHooks TheHooks)
      : Hooks(std::move(TheHooks)), Reader(Hooks) {}
  AnswerHooks Hooks;
  Parser Reader;
  FoldWatch Folds;
  std::string Unparsed; // Unconsumed bytes, to parse again with the next ones.
  bool Failed = false;
};

AnswerParser::AnswerParser(AnswerHooks Hooks)
    : Data(std::make_unique<Impl>(std::move(Hooks))) {}
AnswerParser::~AnswerParser() = default;

std::size_t AnswerParser::feed(std::string_view Bytes) {
  if (Data->Failed || Data->Reader.is_done())
    return 0;
  Data->Folds.feed(Bytes);
  if (Data->Folds.IsFolded) {
    Data->Failed = true;
    return Bytes.size();
  }
  std::size_t Before = Data->Unparsed.size();
  std::string Joined = std::move(Data->Unparsed);
  Data->Unparsed.clear();
  Joined += Bytes;
  std::size_t Used = 0;
  while (Used < Joined.size() && !Data->Reader.is_done()) {
    error_code Error;
    std::size_t Taken = Data->Reader.put(
        boost::asio::const_buffer(Joined.data() + Used, Joined.size() - Used),
        Error);
    Used += Taken;
    if (Error == http::error::need_more)
      break;
    if (Error) {
      Data->Failed = true;
      return Bytes.size();
    }
    if (Taken == 0)
      break;
  }
  if (Data->Reader.is_done())
    return Used > Before ? Used - Before : 0;
  Data->Unparsed = Joined.substr(Used);
  Data->Failed = Data->Unparsed.size() > MaxUnparsedBytes;
  return Bytes.size();
}

void AnswerParser::end() {
  if (Data->Failed || Data->Reader.is_done())
    return;
  // Beast reports an answer as complete if the connection ends before its first
  // byte.
  if (!Data->Reader.is_header_done()) {
    Data->Failed = true;
    return;
  }
  error_code Error;
  Data->Reader.put_eof(Error);
  Data->Failed = static_cast<bool>(Error) || !Data->Reader.is_done();
}

bool AnswerParser::failed() const { return Data->Failed; }
bool AnswerParser::done() const {
  return Data->Reader.is_done() && !Data->Failed;
}
bool AnswerParser::delimited() const {
  return Data->Reader.is_header_done() && !Data->Reader.need_eof();
}
bool AnswerParser::keepsAlive() const {
  return Data->Reader.is_header_done() && Data->Reader.keep_alive();
}

} // namespace pimento
