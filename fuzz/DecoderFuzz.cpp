//===- DecoderFuzz.cpp - Mutation fuzzing of the decoders -----------------===//
//
// Each decoder reads valid inputs that were mutated: bytes are changed,
// truncated, removed, duplicated or inserted, with a fixed seed. The decoder
// must return a value or an error, and the sanitizers must report nothing.
// PIMENTO_FUZZ_ROUNDS sets the number of inputs for each list of valid inputs.
//
//===----------------------------------------------------------------------===//

#define BOOST_TEST_MODULE decoderFuzz
#include <boost/test/unit_test.hpp>

#include "base/Json.h"
#include "base/Random.h"
#include "base/Settings.h"
#include "calls/CallerApi.h"
#include "calls/Claims.h"
#include "document/Document.h"
#include "document/Store.h"
#include "engine/Replies.h"
#include "engine/Stream.h"
#include "membership/Announcement.h"
#include "node/Cells.h"
#include "storage/Segment.h"
#include "wire/Messages.h"

#include <cstdlib>
#include <functional>

using namespace pimento;

namespace {

constexpr int DefaultRounds = 2000;

int rounds() {
  const char *Text = std::getenv("PIMENTO_FUZZ_ROUNDS");
  return Text ? std::max(1, std::atoi(Text)) : DefaultRounds;
}

/// Returns \p Bytes with one to four random mutations.
std::string mangle(std::string Bytes, Random &R) {
  for (std::uint64_t Changes = 1 + below(R, 4); Changes > 0; --Changes) {
    if (Bytes.empty())
      return Bytes;
    std::size_t At = below(R, Bytes.size());
    std::size_t Size = 1 + below(R, std::min<std::size_t>(16, Bytes.size()));
    switch (below(R, 6)) {
    case 0:
      Bytes[At] = static_cast<char>(below(R, 256));
      break;
    case 1:
      Bytes[At] = static_cast<char>(Bytes[At] ^ (1 << below(R, 8)));
      break;
    case 2:
      Bytes.resize(At);
      break;
    case 3:
      Bytes.erase(At, Size);
      break;
    case 4:
      Bytes.insert(At, Bytes.substr(below(R, Bytes.size()), Size));
      break;
    default:
      Bytes.insert(At, Size, static_cast<char>(below(R, 256)));
      break;
    }
  }
  return Bytes;
}

using Decoder = std::function<bool(const std::string &)>;

/// Checks that \p Decode accepts the valid inputs, then feeds it mutations of
/// them. \p Decode returns whether it accepted its input.
void fuzz(const std::vector<std::string> &Good, const Decoder &Decode) {
  for (const std::string &Bytes : Good)
    BOOST_TEST(Decode(Bytes),
               "decoder rejected a valid input: " << Bytes.substr(0, 80));
  Random R(20261203);
  int Refused = 0;
  for (int I = 0; I < rounds(); ++I)
    Refused += Decode(mangle(Good[below(R, Good.size())], R)) ? 0 : 1;
  BOOST_TEST_MESSAGE(Refused << " of " << rounds()
                             << " mutated inputs rejected");
}

/// Runs a decoder that returns Result; true if it returned a value.
template <class F> bool taken(F Decode) {
  Failure Why;
  return valueOr<bool>(
      [&]() -> Result<bool> {
        auto Value = Decode();
        if (!Value)
          return Value.error();
        return true;
      },
      false, Why);
}

template <std::size_t Index = 0>
void allFrames(std::vector<std::string> &Frames) {
  if constexpr (Index < std::variant_size_v<MessageVariant>) {
    Message M;
    M.emplace<Index>();
    Frames.push_back(encode(M));
    allFrames<Index + 1>(Frames);
  }
}

const std::string DocumentText =
    R"({"number":1,"service":"s","kind":"model",)"
    R"("time_limit_ms":{"default":1000,"max":2000},)"
    R"("accounts":[{"account":"a","token_sha256":[")" +
    std::string(64, 'a') +
    R"("],"weight":4}],"models":[{"name":"m","context_tokens":1000,)"
    R"("replicas":2,"adapters":["x"],"versions":["y"]}]})";

const std::string AnnouncementText =
    R"({"id":"e1","incarnation":1,"sequence":2,"address":"127.0.0.1:80",)"
    R"("kind":"engine","data_centre":"n","models":["m"],)"
    R"("memory_tokens":1000,"checks_fence":true,"leaving":false,)"
    R"("load":{"used_tokens":1,"running":2,"waiting":3,"age_ms":4},)"
    R"("cache":{"sequence":0,"added":["12","13"],"removed":["14"]}})";

} // namespace

BOOST_AUTO_TEST_CASE(Wire) {
  std::vector<std::string> Frames;
  allFrames(Frames);
  fuzz(Frames, [](const std::string &Bytes) {
    return taken([&] { return decode(Bytes); });
  });
}

BOOST_AUTO_TEST_CASE(JsonAndCbor) {
  fuzz({DocumentText, AnnouncementText}, [](const std::string &Bytes) {
    return taken([&] { return parseJson(Bytes, JsonLimits()); });
  });
  std::string Cbor;
  Json::to_cbor(Json::parse(DocumentText), Cbor);
  fuzz({Cbor}, [](const std::string &Bytes) {
    return taken([&] { return parseCbor(Bytes, JsonLimits()); });
  });
}

BOOST_AUTO_TEST_CASE(SettingsFiles) {
  std::string Digest(64, 'b');
  std::string Text =
      "[host]\nname = n\ndata_centre = d\ncaller_address = 127.0.0.1:1\n"
      "operator_address = 127.0.0.1:2\npeer_address = 127.0.0.1:3\n"
      "[security]\noperator_token_sha256 = " +
      Digest + "\nbackend_token_sha256 = " + Digest +
      "\npeer_token = p\n[limits]\nbody = 2MiB\nread_timeout = 5s\n"
      "[retries]\nbudget_share = 0.2\n[peers]\nn = d 127.0.0.1:3\n"
      "m = d 127.0.0.1:4 voter\n";
  fuzz({Text}, [](const std::string &Bytes) {
    Settings S;
    std::vector<SettingProblem> Problems;
    return readSettings(Bytes, "f", S, Problems);
  });
}

BOOST_AUTO_TEST_CASE(Documents) {
  fuzz({DocumentText},
       [](const std::string &Bytes) { return checkDocument(Bytes).good(); });
  PutDocumentCommand Command;
  Command.Service = ServiceId("s");
  Command.Number = 1;
  Command.EditId = "e";
  Command.Text = DocumentText;
  fuzz({encodeCommand(Command)}, [](const std::string &Bytes) {
    return taken([&] { return decodeCommand(Bytes); });
  });
  Store S;
  apply(S, Command);
  fuzz({encodeStore(S)}, [](const std::string &Bytes) {
    return taken([&] { return decodeStore(Bytes); });
  });
}

BOOST_AUTO_TEST_CASE(CellTables) {
  CellTable T;
  T.Number = 3;
  T.Cells.push_back({ModelName("m"), 1, HostId("h"), 7, 2});
  fuzz({encodeCellTable(T)}, [](const std::string &Bytes) {
    return taken([&] { return decodeCellTable(Bytes); });
  });
}

BOOST_AUTO_TEST_CASE(Announcements) {
  fuzz({AnnouncementText}, [](const std::string &Bytes) {
    return taken([&] { return parseAnnouncement(Bytes); });
  });
}

BOOST_AUTO_TEST_CASE(EngineReplies) {
  std::string Memory = R"({"incarnation":1,"total_tokens":10,"used_tokens":4,)"
                       R"("held":[{"kind":"export","id":"x","tokens":4,)"
                       R"("age_ms":5}]})";
  fuzz({Memory}, [](const std::string &Bytes) {
    HttpReply Reply;
    Reply.Body = Bytes;
    return taken([&] { return readMemory(Reply); });
  });
  std::string State = R"({"fence":3,"models":["m"],"role":"both",)"
                      R"("loading":null,"incarnation":1})";
  fuzz({State}, [](const std::string &Bytes) {
    HttpReply Reply;
    Reply.Body = Bytes;
    return taken([&] { return readState(Reply); });
  });
}

BOOST_AUTO_TEST_CASE(EngineStreams) {
  std::string Id = toString(AttemptId{{1, 2}, 3});
  std::string Text = ": prefill 1/2\n\ndata: {\"attempt\":\"" + Id +
                     "\",\"offset\":0,\"text\":\"abc \"}\n\n" +
                     "data: {\"attempt\":\"" + Id +
                     "\",\"end\":true,\"finish\":\"stop\",\"prompt_tokens\":1,"
                     "\"cached_tokens\":0,\"output_tokens\":1}\n\n";
  fuzz({Text}, [](const std::string &Bytes) {
    EngineStream Stream;
    std::vector<EngineEvent> Events;
    for (std::size_t At = 0; At < Bytes.size(); At += 7)
      feed(Stream, std::string_view(Bytes).substr(At, 7), Events);
    return !Stream.ProtocolViolated;
  });
}

BOOST_AUTO_TEST_CASE(CallersBodies) {
  std::string Plain = R"({"model":"m","prompt":"hello","max_tokens":5,)"
                      R"("stream":true})";
  std::string Chat = R"({"model":"m","messages":[{"role":"user",)"
                     R"("content":"hi"}],"max_tokens":5})";
  auto Read = [](const char *Path, const std::string &Bytes) {
    HttpRequest R;
    R.Method = HttpMethod::Post;
    R.Path = Path;
    R.Body = Bytes;
    return taken([&] { return calls::readCompletion(R); });
  };
  fuzz({Plain},
       [&](const std::string &B) { return Read("/v1/completions", B); });
  fuzz({Chat},
       [&](const std::string &B) { return Read("/v1/chat/completions", B); });
}

BOOST_AUTO_TEST_CASE(Claims) {
  calls::ClaimBatch Batch;
  Batch.Clock = seconds(1);
  calls::ClaimCommand Command;
  Command.Kind = calls::ClaimCommandKind::Claim;
  Command.Request = {1, 1};
  Command.Key = {ServiceId("s"), AccountId("a"), "k"};
  Command.Host = HostId("h");
  Command.TimeLeft = seconds(5);
  Command.Retention = hours(1);
  Batch.Commands.push_back(Command);
  calls::ClaimsState Applied;
  calls::applyClaims(Applied, calls::encodeBatch(Batch));
  fuzz({calls::encodeBatch(Batch).Data}, [](const std::string &Bytes) {
    calls::ClaimsState State;
    calls::applyClaims(State, Blob{Bytes});
    return true; // applyClaims ignores an entry that it can't decode.
  });
  fuzz({calls::encodeClaims(Applied).Data}, [](const std::string &Bytes) {
    return taken(
        [&] { return calls::decodeClaims(Blob{Bytes}, calls::ClaimLimits()); });
  });
}

BOOST_AUTO_TEST_CASE(LogSegments) {
  std::string Segment;
  std::string Payload(40, 'p');
  for (std::uint64_t Batch = 1; Batch <= 4; ++Batch) {
    storage::Record R;
    R.Batch = Batch;
    R.Kind =
        Batch == 1 ? storage::RecordKind::Start : storage::RecordKind::Entry;
    R.EndsBatch = true;
    R.Payload = Payload;
    storage::addRecord(Segment, 0, 1, R);
  }
  fuzz({Segment}, [](const std::string &Bytes) {
    auto Take = [](const storage::Record &R) {
      LogEntry Entry;
      storage::readEntry(R.Payload, Entry);
      return std::string();
    };
    return storage::scanSegment(Bytes, 1, 0, Take).Corrupt.empty();
  });
}
