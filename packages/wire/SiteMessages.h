//===- SiteMessages.h - Messages between hosts of a site --------*- C++ -*-===//
//
// Messages of a site whose hosts find each other by a list of seed addresses.
// Entry hosts take callers' requests; control hosts keep the configuration and
// the list of backend servers. The placer is the entry host that chooses the
// engines for the requests of all entry hosts.
//
//   control host to control host   ControlHeartbeat
//   entry host to control host     EntrySync
//   control host to entry host     SiteState: the answer to EntrySync; also
//                                  sent unrequested after a change
//   entry host to placer           PlacementRequest, PlacementUpdate
//   placer to entry host           PlacementReply
//   entry host to placer           LimitNotice, PermitRequest
//   placer to entry host           PermitReply
//
// Messages between entry hosts and control hosts also carry a QuarantineUpdate
// about requests, and parts of prompts, that crash backend servers; see
// quarantine/CrashQuarantine.h.
//
// Fields travel in the order of fields(); the order is part of the format.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Codes.h"
#include "base/Ids.h"
#include "base/RequestDigest.h"
#include "base/Time.h"
#include "wire/Blob.h"
#include "wire/MessageList.h"

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace pimento {

enum class ServerPhase : std::uint8_t {
  Ready,
  Draining, // Finishes its requests and accepts no new ones.
  Silent,   // Has not reported within the configured time.
  Gone,     // Deregistered, or replaced by another server at its address.
};

/// The latest report of a backend server about itself.
struct ServerReport {
  BackendId Id;
  std::uint64_t Incarnation = 0; // Start time, milliseconds since 1970.
  std::uint64_t Sequence = 0;    // Number of the report in the incarnation.
  ServiceId Service;
  std::string Address; // ip:port
  DataCentreId DataCentre;
  std::uint32_t Slots = 1; // Requests that the server runs at once.
  ServerPhase Phase = ServerPhase::Ready;
  Duration WarmupTime = {}; // Time after its start in which it is slow.
  Duration Age = {};        // Age of the report when the message was sent.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Id, M.Incarnation, M.Sequence, M.Service, M.Address, M.DataCentre,
          M.Slots, M.Phase, M.WarmupTime, M.Age);
  }
};

/// What may crash the backend servers that run it, in requests of one client
/// account: a part of a prompt, or a whole request that is sent again and
/// again.
struct Suspect {
  AccountId Account;
  PartId Part{};         // Unused if Request is set.
  RequestDigest Request; // Empty: the suspect is a part.

  bool isRequest() const { return !Request.empty(); }

  friend bool operator==(const Suspect &A, const Suspect &B) {
    return A.Part == B.Part && A.Request == B.Request && A.Account == B.Account;
  }
  friend bool operator<(const Suspect &A, const Suspect &B) {
    return std::tie(A.Part, A.Request, A.Account) <
           std::tie(B.Part, B.Request, B.Account);
  }

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Account, M.Part, M.Request.Hi, M.Request.Lo);
  }
};

/// A request whose answer a backend server broke off.
struct CrashedRequest {
  AccountId Account;
  RequestDigest Request;     // Equal for all repeats of the request.
  std::vector<PartId> Parts; // Parts of its prompt; empty: it has no prompt.
  Duration RanFor = {};      // Time from its sending to the crash.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Account, M.Request.Hi, M.Parts, M.Request.Lo, M.RanFor);
  }
};

/// A backend server that ended, and what it was at work on for an entry host.
struct ServerCrash {
  BackendId Server;
  IncarnationNumber Incarnation = 0; // Of the server.
  Duration Age = {};                 // Time since the crash.
  std::vector<CrashedRequest> Requests;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Server, M.Incarnation, M.Age, M.Requests);
  }
};

/// A request that a backend server may still be at work on, although no call
/// waits for it any more.
struct ServerRun {
  BackendId Server;
  IncarnationNumber Incarnation = 0; // Of the server.
  CrashedRequest Request;            // RanFor: time since its sending.
  Duration TimeLeft = {};            // Negative: its time has been up so long.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Server, M.Incarnation, M.Request, M.TimeLeft);
  }
};

/// Requests with the suspect were answered completely.
struct SuspectClearance {
  Suspect Cleared;
  Duration Age = {}; // Time since the end of the latest answer.
  std::optional<std::uint64_t> Count; // Answers that were not reported before;
                                      // zero: only the time is. Empty: an
                                      // unknown number.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Cleared, M.Age, M.Count);
  }
};

/// A suspect that is or was in quarantine: requests with it are refused, since
/// it crashes backend servers.
struct QuarantineRecord {
  PartId Part{};              // Unused if Request is set.
  AccountId Account;          // Unused if AllAccounts is set.
  bool AllAccounts = false;   // The quarantine applies to every account.
  std::uint64_t Version = 0;  // Odd: in quarantine; even: no longer. The record
                              // with the highest version is valid.
  Duration Age = {};          // Time since the version was set.
  std::uint64_t Crashes = 0;  // Crashes that accused the suspect.
  std::uint64_t Requests = 0; // Different requests that accused it.
  std::uint32_t Trials = 0;   // Trials begun so far.
  std::optional<Duration> TrialIn; // Time until the next trial; empty: none.
  RequestDigest Request;           // Empty: the suspect is a part.
  std::uint64_t Answers = 0; // Complete answers beside the crashes; zero: it
                             // was never answered.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Part, M.Account, M.AllAccounts, M.Version, M.Age, M.Crashes,
          M.Requests, M.Trials, M.TrialIn, M.Request.Hi, M.Request.Lo,
          M.Answers);
  }
};

/// What a host knows of suspects of crashes and the receiver may not.
struct QuarantineUpdate {
  std::uint64_t Digest = 0; // Of all records of the sender; zero: it has none.
  std::vector<QuarantineRecord> Records; // Empty if the receiver has the same.
  std::vector<ServerCrash> Crashes; // Recent crashes. From control hosts to
                                    // entry hosts: without requests, to
                                    // ask for those that they know of.
  std::vector<SuspectClearance> Clearances; // Of watched and other suspects.
  std::uint64_t WatchDigest = 0; // Of the watched suspects; zero: none. From
                                 // entry hosts: of those that they know.
  std::vector<Suspect> Watched;  // From control hosts: suspects whose complete
                                 // answers are to be reported; empty if the
                                 // receiver knows them.
  std::vector<ServerRun> Unfinished; // From an entry host that stops.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Digest, M.Records, M.Crashes, M.Clearances, M.WatchDigest,
          M.Watched, M.Unfinished);
  }
};

/// A limit of requests that a backend server named; see
/// routing/RequestLimits.h.
struct ServerLimit {
  BackendId Server;
  IncarnationNumber Incarnation = 0; // Of the server.
  std::optional<double> PerSecond;   // Requests a second; empty: none any more.
  Duration Age = {};  // Time since the latest answer that said so.
  Duration Held = {}; // Time since the first one.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Server, M.Incarnation, M.PerSecond, M.Age, M.Held);
  }
};

/// Limits that a host knows of and the receiver may not.
struct LimitUpdate {
  std::uint64_t Digest = 0; // Of all records of the sender; zero: it has none.
  std::vector<ServerLimit> Records; // Empty if the receiver has the same.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Digest, M.Records);
  }
};

/// Heartbeat between control hosts. Carries the reports of backend servers that
/// the sender received since its previous heartbeat to the same host.
struct ControlHeartbeat {
  static constexpr std::uint16_t WireType = 801;
  std::vector<HostId> Known; // Control hosts whose heartbeats reach the sender.
  std::vector<ServerReport> Reports;
  bool RequestsFullState = false; // The sender just started; send all reports.
  bool Leaving = false;           // The sender is about to stop.
  QuarantineUpdate Quarantine;
  LimitUpdate Limits;
  Blob Alive; // Further reports, of servers that report no change; see
              // routing/AliveServers.h.
  Duration AliveAge = {};  // Age of the oldest of them.
  bool TakesAlive = false; // The sender reads Alive; hosts of earlier versions
                           // do not.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Known, M.Reports, M.RequestsFullState, M.Leaving, M.Quarantine,
          M.Limits, M.Alive, M.AliveAge, M.TakesAlive);
  }
};

/// A routing configuration, as a whole or as the difference to another one; see
/// routing/RoutingUpdate.h.
struct RoutingUpdate {
  std::uint64_t Number = 0; // Of the configuration; zero: no update.
  std::uint64_t Base = 0;   // Configuration that Packed starts from; zero:
                            // Packed is the whole text.
  std::uint64_t Digest = 0; // Of the whole text.
  Blob Packed;              // Compressed.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Number, M.Base, M.Digest, M.Packed);
  }
};

/// In which form an entry host takes configurations.
enum class RoutingForm : std::uint8_t {
  Plain, // SiteState::Text: hosts of earlier versions.
  Whole, // An update with the whole text, since a difference did not fit.
  Delta, // A difference to the configuration in force, or the whole text.
};

/// Tells a control host which state an entry host has, so that the answer
/// contains only what the entry host lacks.
struct EntrySync {
  static constexpr std::uint16_t WireType = 802;
  std::uint64_t Sequence = 0; // Number of the query, repeated in the answer.
  IncarnationNumber ControlIncarnation =
      0; // Incarnation of the control host that assigned Revision.
  std::uint64_t Revision = 0; // Revision of the sender's server list.
  std::uint64_t Config = 0;   // Number of the configuration in force; zero:
                              // none.
  bool Ready = false;         // The sender accepts callers' requests.
  DataCentreId DataCentre;
  HostId Placer;        // Placer that the sender uses; empty: none.
  Duration Uptime = {}; // Time since the sender's start.
  QuarantineUpdate Quarantine;
  RoutingForm Form = RoutingForm::Plain;
  bool Stale = false; // The sender refuses new requests, since it has lacked a
                      // newer configuration for too long.
  LimitUpdate Limits;
  std::vector<ServerReport> Leaving; // Servers that announced in answers that
                                     // they leave; the receiver may not know.
  std::vector<ServiceId> Unreached;  // Services of which the sender reaches no
                                     // server, or too few.
  bool IsCutOff = false; // Other hosts reach servers of one of these services.
  bool WantsRelays = false; // The answer is to name entry hosts.
  std::uint64_t ServersDigest =
      0; // Of the sender's servers, if another control host assigned Revision;
         // zero: not given. See serversDigest().
  Duration Interval = milliseconds(500); // Time until the next query at most.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Sequence, M.ControlIncarnation, M.Revision, M.Config, M.Ready,
          M.DataCentre, M.Placer, M.Uptime, M.Quarantine, M.Form, M.Stale,
          M.Limits, M.Leaving, M.Unreached, M.IsCutOff, M.WantsRelays,
          M.ServersDigest, M.Interval);
  }
};

/// An entry host that may relay requests of others; see RelayMessages.h.
struct RelayCandidate {
  HostId Host;
  DataCentreId DataCentre;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Host, M.DataCentre);
  }
};

/// Site state that a control host sends to an entry host.
struct SiteState {
  static constexpr std::uint16_t WireType = 803;
  std::uint64_t Sequence = 0; // Of the EntrySync; zero: sent unrequested.
  bool IsCurrent = false;     // The sender recently confirmed that its
                              // configuration is the newest.
  HostId Leader;              // Leader of the control hosts; empty: not known.
  std::uint64_t Config = 0;   // Number of the newest configuration; zero: none.
  Blob Text; // Text of that configuration, for hosts of earlier versions;
             // empty: the receiver has it, or a later message carries it.
  IncarnationNumber ControlIncarnation = 0; // Incarnation of the sender.
  std::uint64_t Revision = 0; // Revision of the sender's server list.
  std::uint64_t BaseRevision =
      0; // Servers lists the changes after this revision.
  bool ListsAllServers = false; // Servers lists all backend servers.
  std::vector<ServerReport> Servers;
  std::vector<HostId> Controls; // Control hosts that are alive.
  std::uint64_t EntryHosts = 1; // Entry hosts from which EntrySync came lately.
  HostId Placer; // Entry host that places requests on engines; empty: none.
  QuarantineUpdate Quarantine;
  RoutingUpdate Routing; // Number zero: none with this message.
  LimitUpdate Limits;
  std::vector<RelayCandidate>
      Relays; // Some entry hosts that reach the backend servers; empty: none,
              // or the receiver did not ask for them.
  bool HasSameServers = false; // The receiver had the servers of BaseRevision,
                               // by its digest.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Sequence, M.IsCurrent, M.Leader, M.Config, M.Text,
          M.ControlIncarnation, M.Revision, M.BaseRevision, M.ListsAllServers,
          M.Servers, M.Controls, M.EntryHosts, M.Placer, M.Quarantine,
          M.Routing, M.Limits, M.Relays, M.HasSameServers);
  }
};

/// An engine and the memory reserved on it for one request.
struct EnginePart {
  BackendId Engine;
  std::uint64_t MemoryTokens = 0; // Tokens to reserve; zero: none.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Engine, M.MemoryTokens);
  }
};

/// Asks the placer for the engines of a request. Sent again for each running
/// request when the placer changes; RunningOn then names the request's engines.
struct PlacementRequest {
  static constexpr std::uint16_t WireType = 811;
  std::uint64_t Ticket = 0; // Unique in the requesting host's incarnation.
  ServiceId Service;
  std::uint64_t PromptTokens = 0;
  std::uint64_t AnswerTokens = 0;    // Expected length of the answer.
  Duration Objective = {};           // Time left until the first event is late.
  Duration InterEventObjective = {}; // Longest gap between events; zero: none.
  Duration EventTimeLeft = {}; // Time left until a caller without any event
                               // gives up.
  Duration TimeLeft = {};      // Time left until the request's deadline.
  int Priority = 0;
  AccountId Account;
  DataCentreId DataCentre;
  std::vector<BackendId> Avoid;      // Engines at which an attempt failed.
  std::vector<EnginePart> RunningOn; // Engines that already run the request.
  bool Decoding = false;             // The first event has arrived.
  Duration Waited = {}; // Time since the request reached its entry host.
  Duration PrefillTimeLeft = {}; // Forecast for a running request; zero: the
                                 // prefill is done or has no forecast.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Ticket, M.Service, M.PromptTokens, M.AnswerTokens, M.Objective,
          M.InterEventObjective, M.EventTimeLeft, M.TimeLeft, M.Priority,
          M.Account, M.DataCentre, M.Avoid, M.RunningOn, M.Decoding, M.Waited,
          M.PrefillTimeLeft);
  }
};

/// What the placer believed when it placed or refused a request. Entry hosts
/// write it to their logs; an extra attempt ends if PenaltyShare is too high.
struct PlacementBasis {
  double MaxSlowness = 1; // Highest prefill time of a chosen engine, relative
                          // to its data sheet.
  std::uint64_t UnknownSpeeds = 0;  // Chosen engines without an observed speed.
  std::optional<Duration> SpeedAge; // Age of the oldest observed speed of the
                                    // chosen engines; empty: none.
  std::uint64_t SlowEngines = 0; // Engines of the service that are slower than
                                 // their data sheet.
  Duration Backlog = {};         // Mean prefill backlog of all engines.
  Duration BestForecast = {}; // Forecast of the best plan; zero: no plan found.
  double PenaltyShare = 0; // That plan's penalty for other requests, as a share
                           // of the request's own utility.
  std::uint64_t Searches = 0; // Searches for engines, the last one included.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.MaxSlowness, M.UnknownSpeeds, M.SpeedAge, M.SlowEngines, M.Backlog,
          M.BestForecast, M.PenaltyShare, M.Searches);
  }
};

/// The placer's answer. Without a first engine and with Result Ok it
/// acknowledges that the request waits.
struct PlacementReply {
  static constexpr std::uint16_t WireType = 812;
  std::uint64_t Ticket = 0;
  Code Result = Code::Ok; // Other values: reason for the refusal.
  EnginePart First; // Engine that receives the request and sends the answer.
  std::vector<EnginePart> Helpers; // Engines that prefill parts of the prompt.
  Duration Forecast = {};          // Forecast time to the first event.
  Duration RetryAfter = {}; // Delay before the caller's retry of a refusal.
  PlacementBasis Basis;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Ticket, M.Result, M.First, M.Helpers, M.Forecast, M.RetryAfter,
          M.Basis);
  }
};

enum class PlacementStage : std::uint8_t {
  Decoding, // The first event has arrived.
  Ended,    // Nothing of the request is left at its engines.
  Failed,   // An attempt failed; nothing of the request is left at its engines.
};

/// Tells the placer that a placed or waiting request changed its stage.
struct PlacementUpdate {
  static constexpr std::uint16_t WireType = 813;
  std::uint64_t Ticket = 0;
  PlacementStage Stage = PlacementStage::Ended;
  BackendId FaultyServer; // For Failed: the server at fault; empty: unknown.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Ticket, M.Stage, M.FaultyServer);
  }
};

/// Tells the placer at once of a limit that a backend server named in an
/// answer. Control hosts tell all others.
struct LimitNotice {
  static constexpr std::uint16_t WireType = 814;
  ServerLimit Limit;

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Limit);
  }
};

/// Asks the placer for the permit to send one request to a backend server that
/// named a limit. Sent again while the request waits.
struct PermitRequest {
  static constexpr std::uint16_t WireType = 815;
  std::uint64_t Ticket = 0; // Unique in the requesting host's incarnation.
  std::vector<BackendId> Servers; // Servers that the request may be sent to.
  AccountId Account;
  int Priority = 0;       // Zero: highest.
  Duration TimeLeft = {}; // Time for which the request may wait.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Ticket, M.Servers, M.Account, M.Priority, M.TimeLeft);
  }
};

/// The placer's answer. Without a server and with Result Ok it acknowledges
/// that the request waits.
struct PermitReply {
  static constexpr std::uint16_t WireType = 816;
  std::uint64_t Ticket = 0;
  Code Result = Code::Ok;   // Other values: reason for the refusal.
  BackendId Server;         // One request may be sent there, at once.
  Duration RetryAfter = {}; // Time until a permit can be expected.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Ticket, M.Result, M.Server, M.RetryAfter);
  }
};

using SiteMessages =
    MessageList<ControlHeartbeat, EntrySync, SiteState, PlacementRequest,
                PlacementReply, PlacementUpdate, LimitNotice, PermitRequest,
                PermitReply>;

} // namespace pimento
