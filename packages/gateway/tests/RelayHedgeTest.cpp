// Requests at relays that are late, while other relays are tried: who serves
// the caller, and how often servers get the request.

#include "gateway/tests/RelayPair.h"

using namespace pimento;
using namespace pimento::testing;

namespace {

/// A stream whose relay is silent, while the other relay refuses its hedges
/// unsent.
struct SilentRelay : RelayPair {
  std::size_t Refused = 0;

  SilentRelay() {
    call(HttpMethod::Post, "/s/1", "",
         {{"X-Pimentoglade-Token-Count", "5000,1300"}});
    pass();
  }
  void refuseHedgesFor(Duration Time) {
    for (TimePoint End = A.Now + Time; A.Now < End;) {
      cutOffFromEngines({Other});
      A.advance(milliseconds(100));
      for (const SendPeer &Send : A.all<SendPeer>()) {
        const auto *Request = std::get_if<RelayRequest>(&Send.Content);
        if (Request == nullptr)
          continue;
        BOOST_TEST(Send.To == Other);
        refuse(Request->Id);
        BOOST_TEST(A.all<calls::SendReply>().empty());
        Refused += 1;
      }
    }
  }

private:
  void refuse(std::uint64_t Request) {
    RelayRefusal Refusal;
    Refusal.Id = Request;
    Refusal.Number = Code::NoBackend;
    Refusal.Reason = "no engine can answer in time";
    A.event(PeerMessage{Other, Incarnation, Refusal});
  }
};

} // namespace

/// Guards against retries that are used up by relays which have no server for
/// the request: streams whose connections broke had none left.
BOOST_FIXTURE_TEST_CASE(HedgeThatARelayRefusesCostsNoRetry, SilentRelay) {
  refuseHedgesFor(seconds(4));
  BOOST_TEST(Refused >= 2U);
  BOOST_TEST(A.S.Retries[ServiceId("llm")].Retries.empty());
  BOOST_TEST(A.S.Calls.size() == 1U);
}

/// Guards against LOST at a host without a path: relays refused the hedges of a
/// stream unsent, so often that it had no try left when its own relay was lost.
BOOST_FIXTURE_TEST_CASE(HedgeThatARelayRefusesCostsNoTry, SilentRelay) {
  refuseHedgesFor(seconds(7));
  cutOffFromEngines({Other});
  A.event(RelayLinkLost{B.S.Self});
  BOOST_TEST(A.all<calls::EndStream>().empty());
  BOOST_TEST(A.all<calls::SendReply>().empty());
  BOOST_TEST(count<RelayRequest>(A.all<SendPeer>()) == 1U);
}

/// Guards against LOST: the relay that was late refused a request at last, and
/// the caller got the refusal while another relay was at work on it.
BOOST_FIXTURE_TEST_CASE(RefusalOfALateRelayLeavesTheHedgeAtWork, RelayPair) {
  call(HttpMethod::Post, "/s/1", "",
       {{"X-Pimentoglade-Token-Count", "5000,1300"}});
  std::uint64_t First = 0;
  for (const SendPeer &Send : A.all<SendPeer>()) {
    if (const auto *Request = std::get_if<RelayRequest>(&Send.Content))
      First = Request->Id;
  }
  BOOST_TEST_REQUIRE(First != 0U);
  std::uint64_t Second = 0;
  for (int Step = 0; Step < 40 && Second == 0; ++Step) {
    cutOffFromEngines({Other});
    A.advance(milliseconds(100));
    for (const SendPeer &Send : A.all<SendPeer>()) {
      if (const auto *Request = std::get_if<RelayRequest>(&Send.Content))
        Second = Request->Id;
    }
  }
  BOOST_TEST_REQUIRE(Second != 0U);
  RelayRefusal Refusal;
  Refusal.Id = First;
  Refusal.Number = Code::NoBackend;
  Refusal.Reason = "no engine can answer in time";
  A.event(PeerMessage{B.S.Self, Incarnation, Refusal});
  BOOST_TEST(A.all<calls::SendReply>().empty());
  BOOST_TEST_REQUIRE(A.S.Calls.size() == 1U);
  RelayHead Head;
  Head.Id = Second;
  Head.Status = 200;
  Head.Headers = {{"X-Pimentoglade-Attempt-Id", "id1"},
                  {"X-Pimentoglade-Replica-Stamp", "s"},
                  {"Content-Type", "text/event-stream"}};
  A.event(PeerMessage{Other, Incarnation, Head});
  RelayData Data;
  Data.Id = Second;
  Data.Bytes.Data = "id: 1\ndata: a\n\n";
  A.event(PeerMessage{Other, Incarnation, Data});
  BOOST_TEST_REQUIRE(A.all<calls::StreamBytes>().size() == 1U);
  RelayEnd End;
  End.Id = Second;
  End.IsComplete = true;
  End.Size = Data.Bytes.Data.size();
  End.Sends = 1;
  A.event(PeerMessage{Other, Incarnation, End});
  BOOST_TEST(A.only<calls::EndStream>().IsComplete);
  BOOST_TEST(A.S.Calls.empty());
}

/// Guards against BUDGET: a relay tries a second server for its silent one, and
/// the host has another relay send the request to a third.
BOOST_FIXTURE_TEST_CASE(RelaysTogetherSendARequestNoMoreThanAllowed,
                        RelayPair) {
  call(HttpMethod::Post, "/s/1", "",
       {{"X-Pimentoglade-Token-Count", "5000,1300"}});
  pass();
  calls::OpenUpstream Open = B.only<calls::OpenUpstream>();
  B.sent(Open.Upstream);
  std::size_t Sends = 1;
  for (int Step = 0; Step < 60; ++Step) {
    cutOffFromEngines({B.S.Self, Other});
    A.advance(milliseconds(100));
    B.advance(milliseconds(100));
    std::vector<SendPeer> Sent = A.all<SendPeer>();
    Sends += static_cast<std::size_t>(
        std::count_if(Sent.begin(), Sent.end(), [](const SendPeer &Send) {
          return Send.To == Other &&
                 std::holds_alternative<RelayRequest>(Send.Content);
        }));
    for (const calls::OpenUpstream &Next : B.all<calls::OpenUpstream>()) {
      if (Next.Request.Target != "/s/1")
        continue;
      Sends += 1;
      B.sent(Next.Upstream);
    }
    pass();
  }
  BOOST_TEST(Sends == 2U);
}
