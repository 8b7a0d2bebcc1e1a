//===- FramedRequests.h - Requests with and without an end ------*- C++ -*-===//
//
// Each request of ambiguousRequests() has a body, or might have one, that looks
// like a request of its own (to InnerPath). Two readers of the same bytes may
// disagree about where it ends.
//
//===----------------------------------------------------------------------===//
#pragma once

#include <string>
#include <vector>

namespace pimento::test {

constexpr const char *InnerPath = "/inner";

struct FramedRequest {
  std::string Name;
  std::string Text;
  std::string Body; // Of a proper request.
};

inline std::string innerRequest() {
  return std::string("POST ") + InnerPath +
         " HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
}

inline std::string postWith(const std::string &Fields, const std::string &Body,
                            const std::string &Version = "1.1") {
  return "POST /outer HTTP/" + Version + "\r\nHost: h\r\n" + Fields + "\r\n" +
         Body;
}

/// Requests that are refused before anything of them is passed on.
inline std::vector<FramedRequest> ambiguousRequests() {
  const std::string Inner = innerRequest();
  const std::string Size = std::to_string(Inner.size());
  char Hex[16];
  std::snprintf(Hex, sizeof(Hex), "%zx", Inner.size());
  const std::string Chunked = "Transfer-Encoding: chunked\r\n";
  const std::string Chunk = std::string(Hex) + "\r\n" + Inner + "\r\n";
  const std::string End = "0\r\n\r\n";
  std::vector<FramedRequest> All;
  auto Add = [&](const std::string &Name, const std::string &Text) {
    All.push_back({Name, Text, ""});
  };
  auto AddFields = [&](const std::string &Name, const std::string &Fields) {
    Add(Name, postWith(Fields, Inner));
  };
  auto AddLength = [&](const std::string &Name, const std::string &Value) {
    AddFields("a length " + Name, "Content-Length:" + Value + "\r\n");
  };
  AddFields("two lengths, the first one 0",
            "Content-Length: 0\r\ncontent-length: " + Size + "\r\n");
  AddFields("two lengths, the last one 0",
            "Content-Length: " + Size + "\r\nContent-Length: 0\r\n");
  AddFields("the same length twice",
            "Content-Length: " + Size + "\r\nContent-Length: " + Size + "\r\n");
  AddLength("in a list", " 0, " + Size);
  AddLength("repeated in a list", " " + Size + ", " + Size);
  AddLength("with a plus", " +" + Size);
  AddLength("with a minus", " -" + Size);
  AddLength("that is less than nothing", " -1");
  AddLength("with a blank within", " 0 " + Size);
  AddLength("with a tab within", " 0\t" + Size);
  AddLength("in hexadecimal", std::string(" 0x") + Hex);
  AddLength("with letters behind", " 0x");
  AddLength("with a point", " 0.0");
  AddLength("with an exponent", " 1e2");
  AddLength("in quotes", " \"" + Size + "\"");
  AddLength("that is empty", "");
  AddLength("of blanks", "   ");
  AddLength("with other digits", " \xd9\xa0");
  AddLength("with too many digits", " 18446744073709551616");
  AddLength("with very many zeros", " " + std::string(80, '0'));
  AddLength("behind very many blanks, and more behind",
            std::string(80, ' ') + "0 " + Size);
  AddLength("with a zero byte", std::string(" 0\0", 3));
  auto AddCoding = [&](const std::string &Name, const std::string &Value) {
    Add("the coding " + Name,
        postWith("Transfer-Encoding:" + Value + "\r\n", Chunk + End));
    Add("the coding " + Name + ", without chunks",
        postWith("Transfer-Encoding:" + Value + "\r\n", Inner));
  };
  AddCoding("identity", " identity");
  AddCoding("gzip", " gzip");
  AddCoding("gzip, then chunked", " gzip, chunked");
  AddCoding("chunked, then identity", " chunked, identity");
  AddCoding("chunked twice in a list", " chunked, chunked");
  AddCoding("chunked with a parameter", " chunked;q=1");
  AddCoding("that is empty", "");
  AddCoding("in quotes", " \"chunked\"");
  AddCoding("with a letter more", " xchunked");
  AddCoding("with a vertical tab", " \vchunked");
  AddCoding("with a byte beyond ASCII", " chunked\xa0");
  AddCoding("behind very many blanks, and more behind",
            std::string(80, ' ') + "chunked, identity");
  Add("chunks twice", postWith(Chunked + Chunked, Chunk + End));
  Add("chunks and another coding",
      postWith(Chunked + "Transfer-Encoding: identity\r\n", Chunk + End));
  Add("a length, then chunks",
      postWith("Content-Length: " + Size + "\r\n" + Chunked, Chunk + End));
  Add("chunks, then a length",
      postWith(Chunked + "Content-Length: 0\r\n", Chunk + End));
  Add("chunks in HTTP/1.0", postWith(Chunked, Chunk + End, "1.0"));
  Add("no version", "POST /outer\r\n" + Chunked + "\r\n" + Chunk + End);
  Add("a version with more digits", postWith(Chunked, Chunk + End, "1.01"));
  AddFields("a line without a CR", "Content-Length: 0\nX: 1\r\n");
  AddFields("an end of the head without a CR", "Content-Length: 0\r\n\n");
  AddFields("a CR within a line", "X: 1\rContent-Length: " + Size + "\r\n");
  AddFields("two CRs at the end of a line", "X: 1\r\r\n");
  AddFields("a CR within a name", "Content\r-Length: " + Size + "\r\n");
  AddFields("a folded field", "X: 1\r\n Content-Length: " + Size + "\r\n");
  AddFields("a length folded with a tab",
            "Content-Length:\r\n\t" + Size + "\r\n");
  AddFields("a first field that begins with a blank",
            " Content-Length: " + Size + "\r\n");
  AddFields("a blank before the colon", "Content-Length : " + Size + "\r\n");
  AddFields("a tab before the colon", "Content-Length\t: " + Size + "\r\n");
  AddFields("a blank before the colon of the coding",
            "Transfer-Encoding : chunked\r\n");
  AddFields("no colon", "Content-Length\r\n");
  AddFields("no name", ": 1\r\n");
  AddFields("a bracket in a name", "X(: 1\r\n");
  AddFields("a byte beyond ASCII in a name",
            "Content-Length\xa0: " + Size + "\r\n");
  AddFields("a zero byte in a name",
            std::string("Content-Length\0: ", 17) + Size + "\r\n");
  AddFields("a zero byte in a value", std::string("X: a\0b\r\n", 8));
  AddFields("a control byte in a value", "X: a\x01\r\n");
  auto AddChunk = [&](const std::string &Name, const std::string &Body) {
    Add("a chunk " + Name, postWith(Chunked, Body));
  };
  AddChunk("with a plus",
           std::string("+") + Hex + "\r\n" + Inner + "\r\n" + End);
  AddChunk("with a minus", "-1\r\n" + Inner + "\r\n" + End);
  AddChunk("with 0x", std::string("0x") + Hex + "\r\n" + Inner + "\r\n" + End);
  AddChunk("without a size", "\r\n" + Chunk + End);
  AddChunk("that is longer", "1\r\n" + Inner + "\r\n" + End);
  AddChunk("with a size that is too large",
           "10000000000000000\r\n" + Inner + "\r\n" + End);
  AddChunk("with a blank behind its size",
           std::string(Hex) + " \r\n" + Inner + "\r\n" + End);
  AddChunk("with an extension",
           std::string(Hex) + ";x=1\r\n" + Inner + "\r\n" + End);
  AddChunk("with a line without a CR",
           std::string(Hex) + "\n" + Inner + "\r\n" + End);
  AddChunk("that ends without a CR",
           std::string(Hex) + "\r\n" + Inner + "\n" + End);
  AddChunk("that ends without a line", std::string(Hex) + "\r\n" + Inner + End);
  AddChunk("of letters", "xyz\r\n" + Inner + "\r\n" + End);
  auto AddTrailer = [&](const std::string &Name, const std::string &Fields) {
    Add("a trailer with " + Name,
        postWith(Chunked, Chunk + "0\r\n" + Fields + "\r\n" + Inner));
  };
  AddTrailer("a length", "Content-Length: 5\r\n");
  AddTrailer("a coding", "Transfer-Encoding: chunked\r\n");
  AddTrailer("a host", "HOST: other\r\n");
  AddTrailer("an identity", "X-Identity: other\r\n");
  AddTrailer("a blank before the colon", "X : 1\r\n");
  AddTrailer("a folded field", "X: 1\r\n y\r\n");
  AddTrailer("a line without a CR", "X: 1\n");
  AddTrailer("no colon", "X\r\n");
  return All;
}

/// Requests whose end is certain.
inline std::vector<FramedRequest> properRequests() {
  const std::string Chunked = "Transfer-Encoding: chunked\r\n";
  return {
      {"no body", "GET /outer HTTP/1.1\r\nHost: h\r\n\r\n", ""},
      {"a body of a GET", "GET /outer HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc",
       "abc"},
      {"chunks of a DELETE",
       "DELETE /outer HTTP/1.1\r\n" + Chunked + "\r\n3\r\nabc\r\n0\r\n\r\n",
       "abc"},
      {"no field", "GET /outer HTTP/1.1\r\n\r\n", ""},
      {"a length", postWith("Content-Length: 5\r\n", "a\r\n\r\n"), "a\r\n\r\n"},
      {"a length of 0", postWith("Content-Length: 0\r\n", ""), ""},
      {"neither", postWith("", ""), ""},
      {"a length without a blank", postWith("content-length:3\r\n", "abc"),
       "abc"},
      {"a length between blanks",
       postWith("Content-Length: \t 3 \t\r\n", "abc"), "abc"},
      {"a length behind very many blanks",
       postWith("Content-Length:" + std::string(80, ' ') + "3\r\n", "abc"),
       "abc"},
      {"a length in HTTP/1.0", postWith("Content-Length: 3\r\n", "abc", "1.0"),
       "abc"},
      {"one chunk", postWith(Chunked, "3\r\nabc\r\n0\r\n\r\n"), "abc"},
      {"chunks",
       postWith(Chunked, "3\r\nabc\r\nA\r\n0123\r\n6789\r\n0\r\n\r\n"),
       "abc0123\r\n6789"},
      {"no chunk", postWith(Chunked, "0\r\n\r\n"), ""},
      {"a size with zeros", postWith(Chunked, "0003\r\nabc\r\n000\r\n\r\n"),
       "abc"},
      {"the coding in capitals",
       postWith("TRANSFER-ENCODING: Chunked\r\n", "3\r\nabc\r\n0\r\n\r\n"),
       "abc"},
      {"a trailer",
       postWith(Chunked, "3\r\nabc\r\n0\r\nX-Sum: 1\r\nY: 2\r\n\r\n"), "abc"},
      {"an empty value", postWith("X:\r\nContent-Length: 1\r\n", "a"), "a"},
      {"a value beyond ASCII", postWith("X: \xc3\xa4\r\n", ""), ""},
      {"a long name",
       postWith(std::string(100, 'n') + ": 1\r\nContent-Length: 1\r\n", "a"),
       "a"},
  };
}

} // namespace pimento::test
