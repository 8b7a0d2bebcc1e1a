//===- Streams.h - Streams of engines for the tests -------------*- C++ -*-===//
#pragma once

#include <boost/test/unit_test.hpp>

#include "Rig.h"

namespace pimento::calls {

/// A request with an open stream from its engine.
struct Running {
  Rig &R;
  ExchangeId Exchange{};
  AttemptId Attempt;
  UpstreamId Call{};

  Running(Rig &Host, bool Stream) : R(Host) {
    Exchange = R.complete(Stream);
    Attempt = R.one<SendGrantRequest>().Content.Attempt;
    R.grant(Attempt);
    Call = R.one<OpenUpstream>().Upstream;
    R.sent(Call);
    R.head(Call, 200);
  }
  std::string token(std::uint64_t Offset, const std::string &Text) {
    R.data(Call, tokenLine(Attempt, Offset, Text));
    std::string Written;
    for (const StreamBytes &S : R.all<StreamBytes>())
      Written += S.Bytes;
    return Written;
  }
  /// Waits until the host resumes the broken stream at the same engine, and
  /// returns the new upstream call.
  OpenUpstream resume() {
    R.passAll(milliseconds(60));
    OpenUpstream Again = R.one<OpenUpstream>();
    Call = Again.Upstream;
    return Again;
  }
};

/// A stream without a byte for longer than the idle timeout, which the host
/// resumes over another connection.
struct SilentStream {
  Rig &R;
  Running &G;
  UpstreamId Silent{};
  OpenUpstream Resume;

  SilentStream(Rig &Host, Running &Stream) : R(Host), G(Stream) {
    Silent = G.Call;
    R.passAll(milliseconds(5060));
    BOOST_TEST(R.none<AbortUpstream>());
    Resume = R.one<OpenUpstream>();
    G.Call = Resume.Upstream;
  }
  /// Lets this resume and those that follow fail to connect.
  void failResumes() {
    for (std::uint32_t I = 1; I < R.S.Times.MaxResumes; ++I) {
      R.fail(G.Call, false);
      R.passAll(milliseconds(500));
      G.Call = R.one<OpenUpstream>().Upstream;
    }
    R.fail(G.Call, false);
    G.Call = Silent;
  }
  void checkNothingIsLeft() {
    R.drained(G.Exchange);
    BOOST_TEST(idle(R.S));
    BOOST_TEST(R.S.Upstreams.empty());
    BOOST_TEST(R.S.Bytes == 0U);
  }
};

/// An attempt at a silent engine that is kept while another engine is asked
/// for.
struct KeptStream {
  Rig &R;
  Running &G;
  SilentStream S;
  GrantRequest Next;

  KeptStream(Rig &Host, Running &Stream) : R(Host), G(Stream), S(Host, Stream) {
    S.failResumes();
    askNext();
  }
  /// Waits for the grant request of the next attempt.
  void askNext() {
    R.passAll(milliseconds(60));
    Next = R.one<SendGrantRequest>().Content;
  }
  void refuseNext() {
    R.clear();
    onRefusal(R.S, {Next.Attempt, Code::QueueFull, seconds(3), {}, 0}, R.Dir,
              R.Now, R.Out);
  }
  /// Grants the next attempt; its engine begins a stream without tokens.
  UpstreamId startNext(const std::string &Engine = "e2") {
    R.grant(Next.Attempt, Engine);
    UpstreamId Call = R.one<OpenUpstream>().Upstream;
    R.sent(Call);
    R.head(Call, 200);
    return Call;
  }
  /// The kept engine goes on with the only token of its answer.
  void goOn() {
    R.data(S.Silent, tokenLine(G.Attempt, 0, "one") + endLine(G.Attempt, 1));
  }
  /// Checks that the last input cancelled \p Attempts, confirms the cancels and
  /// checks that each grant is released only then.
  void checkCancelled(const std::vector<AttemptId> &Attempts) {
    std::vector<OpenUpstream> Cancels;
    for (const OpenUpstream &Call : R.all<OpenUpstream>()) {
      if (Call.Request.Method == HttpMethod::Delete)
        Cancels.push_back(Call);
    }
    BOOST_REQUIRE(Cancels.size() == Attempts.size());
    for (std::size_t I = 0; I < Cancels.size(); ++I) {
      BOOST_TEST(Cancels[I].Request.Target ==
                 "/v1/attempts/" + toString(Attempts[I]));
      for (const SendRelease &Early : R.all<SendRelease>())
        BOOST_TEST((Early.Content.Attempt != Attempts[I]));
    }
    for (std::size_t I = 0; I < Cancels.size(); ++I) {
      R.head(Cancels[I].Upstream, 200);
      BOOST_TEST((R.one<SendRelease>().Content.Attempt == Attempts[I]));
      BOOST_TEST((R.one<SendRelease>().Content.End == AttemptEnd::Cancelled));
    }
  }
};

inline std::string answerText(const Rig &R) {
  Json Answer = parseJson(R.one<SendReply>().Reply.Body, JsonLimits()).value();
  return Answer["choices"][0]["text"].get<std::string>();
}

} // namespace pimento::calls
