//===- GatewayTurn.h - One call of an entry host's reducer ------*- C++ -*-===//
//
// Internal. The parts share one turn.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "gateway/Gateway.h"

namespace pimento::gateway {

struct GatewayTurn {
  Gateway &S;
  TimePoint Now;
  Effects Out;
};

// Gateway.cpp
GatewayCall *findCall(GatewayTurn &T, std::uint64_t Ticket);
/// Looks at the call again then; takes the place of an earlier time.
void checkAt(GatewayTurn &T, GatewayCall &C, TimePoint At);
void log(GatewayTurn &T, DecisionRecord Record);
/// A record about one call, with its try's id, route and age.
DecisionRecord record(const GatewayTurn &T, const GatewayCall &C,
                      const char *Kind, std::string Reason);
void count(GatewayTurn &T, const char *Name, std::string Label = "");
void sample(GatewayTurn &T, const char *Name, std::string Label, Duration D);
void send(GatewayTurn &T, const HostId &To, Message M);
void reply(GatewayTurn &T, ExchangeId Exchange, HttpReply Reply);

// Admission.cpp
void admit(GatewayTurn &T, ExchangeId Exchange, const HttpRequest &R,
           TimePoint Arrived);
/// Requests that came before the configuration: admits or refuses them.
void tickHeld(GatewayTurn &T);
/// The call's final answer, made here; ends it.
void fail(GatewayTurn &T, GatewayCall &C, Code Number, const char *Reason,
          Duration RetryAfter = Duration::zero());
/// The call is over: logs, frees what it holds, forgets it.
void finish(GatewayTurn &T, GatewayCall &C, int Status, Code Result,
            const char *Reason);
void callerLeft(GatewayTurn &T, ExchangeId Exchange);

// Attempt.cpp
/// Chooses a server, or asks for engines, and sends.
void startAttempt(GatewayTurn &T, GatewayCall &C);
/// Sends to the server that C.Attempt names.
void sendAttempt(GatewayTurn &T, GatewayCall &C,
                 const std::vector<HelperInfo> &Helpers);
void upstreamSent(GatewayTurn &T, UpstreamId Upstream);
void upstreamFailed(GatewayTurn &T, UpstreamId Upstream,
                    const UpstreamFailure &Why);
/// The try is over without an answer for the caller. \p Ran: it may have run.
void attemptFailed(GatewayTurn &T, GatewayCall &C, bool Ran, Code Number,
                   const char *Reason);
void checkCall(GatewayTurn &T, GatewayCall &C);
/// Whether a further server may run the request once it ran or may have run.
bool mayRunAgain(const GatewayCall &C);
void closeAttempt(GatewayTurn &T, GatewayCall &C, bool Abort);
/// Whether one more send is allowed, were it needed now.
bool maySendAgain(GatewayTurn &T, const GatewayCall &C);

// Answer.cpp
void upstreamHead(GatewayTurn &T, const UpstreamHead &E);
void upstreamData(GatewayTurn &T, const UpstreamData &E);
void upstreamEnd(GatewayTurn &T, const UpstreamEnd &E);

// PlacePart.cpp
void requestPlacement(GatewayTurn &T, GatewayCall &C);
void onPlacementReply(GatewayTurn &T, const HostId &From,
                      const PlacementReply &M);
void onPlacementRequest(GatewayTurn &T, const HostId &From,
                        IncarnationNumber Incarnation,
                        const PlacementRequest &M);
void onPlacementUpdate(GatewayTurn &T, const HostId &From,
                       const PlacementUpdate &M);
/// Tells the placer what became of the call.
void reportStage(GatewayTurn &T, GatewayCall &C, PlacementStage Stage,
                 const BackendId &FaultyServer = BackendId());
bool reservationEvent(GatewayTurn &T, const Event &E);
void freeReservations(GatewayTurn &T, GatewayCall &C);
void checkPlacing(GatewayTurn &T, GatewayCall &C);
void checkReserving(GatewayTurn &T, GatewayCall &C);
void renewReservations(GatewayTurn &T, GatewayCall &C);
void tickPlacing(GatewayTurn &T);
/// The placer may have changed: registers what runs with the new one.
void followPlacer(GatewayTurn &T);

// SitePart.cpp
void tickSite(GatewayTurn &T);
void onSiteState(GatewayTurn &T, const HostId &From, const SiteState &M);
void stopRequested(GatewayTurn &T);
void operatorCall(GatewayTurn &T, ExchangeId Exchange, const HttpRequest &R);

} // namespace pimento::gateway
