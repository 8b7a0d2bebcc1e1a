#include "intake/RequestScan.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace pimento {

namespace {

/// Part of a line that is kept. A field that states a length or chunks is
/// shorter, or refused.
constexpr std::size_t MaxKeptBytes = 64;
/// Digits of a length, and of a chunk's size: more might not fit.
constexpr std::size_t MaxDigits = 18;
constexpr std::size_t MaxHexDigits = 15;
constexpr int Hexadecimal = 16;
constexpr int Decimal = 10;

/// Fields that concern the framing or the connection.
constexpr std::array<std::string_view, 9> FramingFields = {
    "connection", "content-length", "expect",
    "host",       "keep-alive",     "te",
    "trailer",    "upgrade",        "transfer-encoding"};

char lower(char C) {
  return C >= 'A' && C <= 'Z' ? static_cast<char>(C - 'A' + 'a') : C;
}

bool isBlank(char C) { return C == ' ' || C == '\t'; }
bool isDigit(char C) { return C >= '0' && C <= '9'; }
bool isHexDigit(char C) {
  char L = lower(C);
  return isDigit(C) || (L >= 'a' && L <= 'f');
}

/// Whether the byte may stand in a line at all, blanks left out.
bool isVisible(char C) {
  constexpr unsigned char FirstVisible = 0x21;
  constexpr unsigned char Delete = 0x7f;
  auto Byte = static_cast<unsigned char>(C);
  return Byte >= FirstVisible && Byte != Delete;
}

bool isNameByte(char C) {
  constexpr std::string_view Others = "!#$%&'*+-.^_`|~";
  char L = lower(C);
  return isDigit(C) || (L >= 'a' && L <= 'z') ||
         Others.find(C) != std::string_view::npos;
}

bool allDigits(std::string_view Text) {
  return std::all_of(Text.begin(), Text.end(), isDigit);
}

std::size_t numberIn(std::string_view Text, int Base) {
  std::size_t Number = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Number, Base);
  return Number;
}

void fail(RequestScan &S, const char *Why) {
  if (S.Fault == nullptr)
    S.Fault = Why;
}

//===----------------------------------------------------------------------===//
// Lines
//===----------------------------------------------------------------------===//

bool isFirstLine(const RequestScan &S) {
  return S.Part == RequestPart::Head && S.Fields == 0;
}

/// Keeps the end of the first line, which names the version.
void takeFirstLineByte(RequestScan &S, char C) {
  if (!isVisible(C) && C != ' ')
    fail(S, "a byte is not allowed in the first line");
  if (S.Line.size() == MaxKeptBytes)
    S.Line.erase(0, MaxKeptBytes / 2);
  S.Line += C;
}

void takeFieldByte(RequestScan &S, char C) {
  if (S.InValue) {
    bool IsLeadingBlank = isBlank(C) && S.Line.back() == ':';
    if (!isVisible(C) && !isBlank(C))
      fail(S, "a byte is not allowed in a field's value");
    if (IsLeadingBlank && !S.IsCut)
      return;
  } else if (C == ':') {
    if (S.Line.empty())
      fail(S, "a field has no name");
    S.InValue = true;
  } else if (!S.HasBytes && isBlank(C)) {
    fail(S, "a field is folded, or begins with a blank");
  } else if (!isNameByte(C)) {
    fail(S, "a byte is not allowed in a field's name");
  }
  // The colon is kept, whatever the length of the name.
  if (S.Line.size() < MaxKeptBytes || (C == ':' && S.Line.back() != ':'))
    S.Line += S.InValue ? C : lower(C);
  else
    S.IsCut = true;
}

/// Extensions, which nobody needs, are refused by evhttp.
void takeChunkSizeByte(RequestScan &S, char C) {
  if (!isHexDigit(C))
    fail(S, "the size of a chunk is no number");
  else if (S.Line.size() == MaxHexDigits)
    fail(S, "the size of a chunk is too large");
  else
    S.Line += C;
}

void takeLineByte(RequestScan &S, char C) {
  if (S.AfterCr)
    fail(S, "a line has a CR before its end");
  else if (isFirstLine(S))
    takeFirstLineByte(S, C);
  else if (S.Part == RequestPart::ChunkSize)
    takeChunkSizeByte(S, C);
  else if (S.Part == RequestPart::ChunkEnd)
    fail(S, "a chunk is longer than its size");
  else
    takeFieldByte(S, C);
  S.HasBytes = true;
}

void readVersion(RequestScan &S) {
  constexpr std::string_view Start = " HTTP/1.";
  std::size_t Size = Start.size() + 1;
  std::string_view Line = S.Line;
  bool IsVersion = Line.size() >= Size && isDigit(Line.back()) &&
                   Line.substr(Line.size() - Size, Start.size()) == Start;
  if (!IsVersion)
    fail(S, "the first line does not end with the version of HTTP");
  S.IsOld = IsVersion && Line.back() == '0';
}

void readLength(RequestScan &S, std::string_view Value) {
  bool IsNumber = !S.IsCut && !Value.empty() && Value.size() <= MaxDigits &&
                  allDigits(Value);
  if (S.HasLength)
    fail(S, "the body has several lengths");
  if (!IsNumber)
    fail(S, "the length of the body is no number, or too large");
  S.HasLength = true;
  S.Length = numberIn(Value, Decimal);
}

void readCoding(RequestScan &S, std::string_view Value) {
  constexpr std::string_view Chunked = "chunked";
  bool IsChunked =
      !S.IsCut &&
      std::equal(Value.begin(), Value.end(), Chunked.begin(), Chunked.end(),
                 [](char A, char B) { return lower(A) == B; });
  if (S.IsChunked || !IsChunked)
    fail(S, "the transfer coding is not chunked alone");
  S.IsChunked = true;
}

bool isReserved(const RequestScan &S, std::string_view Name) {
  bool IsOfFraming = std::find(FramingFields.begin(), FramingFields.end(),
                               Name) != FramingFields.end();
  return IsOfFraming || (S.IsReserved != nullptr && S.IsReserved(Name));
}

void readField(RequestScan &S) {
  if (!S.InValue) {
    fail(S, "a field has no colon");
    return;
  }
  std::string_view Line = S.Line;
  std::size_t Colon = Line.find(':');
  std::string_view Name = Line.substr(0, Colon);
  std::string_view Value = Line.substr(Colon + 1);
  while (!Value.empty() && isBlank(Value.back()))
    Value.remove_suffix(1);
  if (S.Part == RequestPart::Trailer) {
    if (isReserved(S, Name))
      fail(S, "a trailer has a field that may stand in the head only");
  } else if (Name == "content-length") {
    readLength(S, Value);
  } else if (Name == "transfer-encoding") {
    readCoding(S, Value);
  }
}

void endHead(RequestScan &S) {
  S.HeadFields = S.Fields - 1;
  if (S.IsChunked && S.HasLength)
    fail(S, "the body has a length and chunks");
  if (S.IsChunked && S.IsOld)
    fail(S, "HTTP/1.0 has no chunks");
  if (S.IsChunked) {
    S.Part = RequestPart::ChunkSize;
    return;
  }
  S.Left = S.Length;
  S.Part = S.Left > 0 ? RequestPart::Body : RequestPart::Whole;
}

void endChunkSize(RequestScan &S) {
  if (S.Line.empty())
    fail(S, "a chunk has no size");
  S.Left = numberIn(S.Line, Hexadecimal);
  S.Part = S.Left > 0 ? RequestPart::Chunk : RequestPart::Trailer;
}

void endFieldLine(RequestScan &S) {
  if (!S.HasBytes) {
    if (S.Part == RequestPart::Trailer)
      S.Part = RequestPart::Whole;
    else if (S.Fields > 0) // Empty lines before a request are no end of it.
      endHead(S);
    return;
  }
  if (isFirstLine(S))
    readVersion(S);
  else
    readField(S);
  S.Fields += 1;
}

void endLine(RequestScan &S) {
  if (!S.AfterCr) {
    fail(S, "a line ends without a CR");
    return;
  }
  if (S.Part == RequestPart::ChunkSize)
    endChunkSize(S);
  else if (S.Part == RequestPart::ChunkEnd)
    S.Part = RequestPart::ChunkSize;
  else
    endFieldLine(S);
  S.Line.clear();
  S.HasBytes = S.InValue = S.IsCut = S.AfterCr = false;
}

/// Takes bytes up to the end of a line; returns how many.
std::size_t takeLine(RequestScan &S, std::string_view Bytes) {
  bool IsOfHead = S.Part == RequestPart::Head || S.Part == RequestPart::Trailer;
  std::size_t Size = 0;
  bool IsWhole = false;
  while (Size < Bytes.size() && !IsWhole && S.Fault == nullptr) {
    char C = Bytes[Size++];
    IsWhole = C == '\n';
    if (IsWhole)
      endLine(S);
    else if (C == '\r' && !S.AfterCr)
      S.AfterCr = true;
    else
      takeLineByte(S, C);
  }
  if (IsOfHead)
    S.HeadBytes += Size;
  return Size;
}

/// Takes bytes of a body or of a chunk; returns how many.
std::size_t takeBody(RequestScan &S, std::string_view Bytes) {
  std::size_t Size = std::min(S.Left, Bytes.size());
  S.Left -= Size;
  S.BodyBytes += Size;
  if (S.Left == 0)
    S.Part = S.Part == RequestPart::Chunk ? RequestPart::ChunkEnd
                                          : RequestPart::Whole;
  return Size;
}

} // namespace

void scan(RequestScan &S, std::string_view Bytes) {
  S.Bytes += Bytes.size();
  while (!Bytes.empty() && S.Part != RequestPart::Whole && S.Fault == nullptr) {
    bool IsBody = S.Part == RequestPart::Body || S.Part == RequestPart::Chunk;
    std::size_t Size = IsBody ? takeBody(S, Bytes) : takeLine(S, Bytes);
    S.WholeBytes += Size;
    Bytes.remove_prefix(Size);
  }
}

std::size_t headCost(const RequestScan &S) {
  return RequestBaseBytes + S.HeadBytes + S.Fields * FieldBytes;
}

std::size_t cost(const RequestScan &S) {
  if (S.Bytes == 0)
    return 0;
  return headCost(S) + S.Bytes - std::min(S.HeadBytes, S.Bytes);
}

} // namespace pimento
