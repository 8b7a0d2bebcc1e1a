#include <boost/test/unit_test.hpp>

#include "engine/Stream.h"

#include "base/Random.h"

using namespace pimento;

namespace {

const AttemptId Attempt{{1, 2}, 3};

const std::string CompleteStream =
    ": prefill 10/40\r\n"
    ": keep-alive\n"
    "data: {\"attempt\": \"" +
    toString(Attempt) +
    "\", \"offset\": 0, \"text\": \"a\\nb\"}\n\n"
    "event: other\n"
    "data: {\"attempt\": \"" +
    toString(Attempt) +
    "\", \"end\": true, \"finish\": \"length\", \"prompt_tokens\": 4, "
    "\"cached_tokens\": 2, \"output_tokens\": 1}\n\n";

/// The events as text, separated by semicolons.
std::string show(const std::vector<EngineEvent> &Events) {
  std::string Text;
  for (const EngineEvent &Event : Events) {
    if (const auto *T = std::get_if<TokenEvent>(&Event))
      Text += toString(T->Attempt) + " " + std::to_string(T->Offset) + " " +
              T->Text + ";";
    else if (const auto *P = std::get_if<PrefillEvent>(&Event))
      Text += "prefill " + std::to_string(P->Done) + ";";
    else if (const auto *E = std::get_if<EndEvent>(&Event))
      Text += "end " + std::to_string(E->OutputTokens) +
              (E->LengthLimit ? " length;" : ";");
    else if (const auto *Error = std::get_if<ErrorEvent>(&Event))
      Text += "error " + Error->Detail + ";";
    else
      Text += "protocol error;";
  }
  return Text;
}

std::string readStream(const std::string &Bytes) {
  EngineStream Stream;
  std::vector<EngineEvent> Events;
  feed(Stream, Bytes, Events);
  return show(Events);
}

} // namespace

BOOST_AUTO_TEST_CASE(EventsDoNotDependOnHowBytesAreSplit) {
  std::string Expected =
      "prefill 10;" + toString(Attempt) + " 0 a\nb;end 1 length;";
  BOOST_TEST(readStream(CompleteStream) == Expected);
  Random Rng(1);
  for (int Round = 0; Round < 200; ++Round) {
    EngineStream Stream;
    std::vector<EngineEvent> Events;
    std::string_view Rest = CompleteStream;
    while (!Rest.empty()) {
      std::size_t Length = 1 + below(Rng, 20);
      feed(Stream, Rest.substr(0, Length), Events);
      Rest.remove_prefix(std::min(Length, Rest.size()));
    }
    BOOST_TEST(show(Events) == Expected);
  }
}

BOOST_AUTO_TEST_CASE(ProtocolViolationEndsTheStream) {
  std::string Id = "\"attempt\": \"" + toString(Attempt) + "\"";
  BOOST_TEST(readStream("data: nonsense\n") == "protocol error;");
  BOOST_TEST(readStream("data: {\"attempt\": \"x\", \"offset\": 0, "
                        "\"text\": \"\"}\n") == "protocol error;");
  BOOST_TEST(
      readStream("data: {" + Id + ", \"offset\": -1, \"text\": \"\"}\n") ==
      "protocol error;");
  BOOST_TEST(readStream("data: {" + Id + ", \"end\": true}\n") ==
             "protocol error;");
  BOOST_TEST(readStream("data: {" + Id + ", \"end\": false}\n") ==
             "protocol error;");
  BOOST_TEST(readStream("data: {" + Id + ", \"error\": \"no\"}\n") ==
             "error no;");
  BOOST_TEST(readStream(std::string(70000, 'x')) == "protocol error;");
  // Input after the violation is ignored.
  BOOST_TEST(readStream("data: nonsense\n" + CompleteStream) ==
             "protocol error;");
}

BOOST_AUTO_TEST_CASE(CorruptedStreamsDoNotGainEvents) {
  Random Rng(4);
  for (int Round = 0; Round < 5000; ++Round) {
    std::string Mutated = CompleteStream;
    Mutated[below(Rng, Mutated.size())] = static_cast<char>(below(Rng, 256));
    EngineStream Stream;
    std::vector<EngineEvent> Events;
    feed(Stream, Mutated, Events);
    BOOST_REQUIRE(Events.size() <= 4U);
    std::size_t Violations = 0;
    for (const EngineEvent &Event : Events)
      Violations += std::holds_alternative<ProtocolErrorEvent>(Event) ? 1 : 0;
    BOOST_REQUIRE(Violations == (Stream.ProtocolViolated ? 1U : 0U));
  }
}

BOOST_AUTO_TEST_CASE(EndlessLineUsesBoundedMemory) {
  EngineStream Stream;
  std::vector<EngineEvent> Events;
  for (int I = 0; I < 1000; ++I)
    feed(Stream, std::string(1000, 'x'), Events);
  BOOST_TEST(Stream.Reader.Partial.capacity() < 200000U);
  BOOST_TEST(show(Events) == "protocol error;");
}
