//===- SiteMessages.h - Hosts that find each other by seeds -----*- C++ -*-===//
//
//   control hosts to each other   ControlHeartbeat
//   an entry host to a control    EntrySync, answered by SiteState, which is
//   host                          also sent unasked when something changed
//   entry hosts to the one that   PlacementRequest, PlacementReply,
//   PlacementUpdate places requests on engines
//
//===----------------------------------------------------------------------===//
#pragma once

#include "base/Codes.h"
#include "base/Ids.h"
#include "base/Time.h"
#include "wire/Blob.h"
#include "wire/MessageList.h"

#include <cstdint>
#include <string>
#include <vector>

namespace pimento {

enum class ServerPhase : std::uint8_t {
  Ready,
  Draining, // Takes nothing new; what it has it finishes.
  Silent,   // Has not reported for long.
  Gone,     // Left, or another server has its address.
};

/// What a backend server last said of itself.
struct ServerReport {
  BackendId Id;
  std::uint64_t Incarnation = 0; // Milliseconds since 1970 of its start.
  std::uint64_t Sequence = 0;    // Counts its reports.
  ServiceId Service;
  std::string Address; // ip:port
  DataCentreId DataCentre;
  std::uint32_t Slots = 1; // Requests that it runs at once.
  ServerPhase Phase = ServerPhase::Ready;
  Duration WarmupTime = {}; // It stays slow for so long after its start.
  Duration Age = {};        // Since it was heard, when this was sent.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Id, M.Incarnation, M.Sequence, M.Service, M.Address, M.DataCentre,
          M.Slots, M.Phase, M.WarmupTime, M.Age);
  }
};

/// A control host tells another one that it lives, and what it heard from
/// backend servers since it told that host before.
struct ControlHeartbeat {
  static constexpr std::uint16_t WireType = 801;
  std::vector<HostId> Known; // Control hosts that the sender hears.
  std::vector<ServerReport> Reports;
  bool RequestsFullState = false; // The sender just started: send every report.
  bool Leaving = false;           // It stops soon.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Known, M.Reports, M.RequestsFullState, M.Leaving);
  }
};

/// An entry host tells what it has, so that it is told what it lacks.
struct EntrySync {
  static constexpr std::uint16_t WireType = 802;
  std::uint64_t Sequence = 0; // The answer repeats it.
  IncarnationNumber ControlIncarnation =
      0;                      // Of the host whose Revision it has.
  std::uint64_t Revision = 0; // Of the servers, as that host counts.
  std::uint64_t Config = 0;   // Number of the configuration in force; zero:
                              // none.
  bool Ready = false;         // It takes callers.
  DataCentreId DataCentre;
  HostId Placer;        // That it asks; empty: none.
  Duration Uptime = {}; // Since its start.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Sequence, M.ControlIncarnation, M.Revision, M.Config, M.Ready,
          M.DataCentre, M.Placer, M.Uptime);
  }
};

/// What a control host knows that an entry host needs.
struct SiteState {
  static constexpr std::uint16_t WireType = 803;
  std::uint64_t Sequence = 0; // Of the EntrySync; zero: sent unasked.
  bool Current = false; // The sender heard of the newest configuration lately.
  HostId Leader;        // Empty: not known.
  std::uint64_t Config = 0; // Newest number; zero: none.
  Blob Text;                // Of that configuration; empty: the receiver's.
  IncarnationNumber ControlIncarnation = 0;
  std::uint64_t Revision = 0;
  std::uint64_t Base = 0; // Servers lists what changed after this revision.
  bool Whole = false;     // Servers lists all.
  std::vector<ServerReport> Servers;
  std::vector<HostId> Controls; // Control hosts.
  std::uint64_t Entries = 1;    // Entry hosts that were heard lately.
  HostId Placer; // Entry host that places requests on engines; empty: none.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Sequence, M.Current, M.Leader, M.Config, M.Text,
          M.ControlIncarnation, M.Revision, M.Base, M.Whole, M.Servers,
          M.Controls, M.Entries, M.Placer);
  }
};

/// An engine and the memory that is kept at it for one request.
struct EnginePart {
  BackendId Engine;
  std::uint64_t MemoryTokens = 0; // To be reserved there; zero: none.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Engine, M.MemoryTokens);
  }
};

/// Asks where a request is to run. Sent again for requests under way when
/// another host places them, with the engines that they have.
struct PlacementRequest {
  static constexpr std::uint16_t WireType = 811;
  std::uint64_t Ticket = 0; // Of the asking host's life.
  ServiceId Service;
  std::uint64_t PromptTokens = 0;
  std::uint64_t AnswerTokens = 0;    // Expected.
  Duration Objective = {};           // Left until the first event is late.
  Duration InterEventObjective = {}; // Zero: none.
  Duration EventTimeLeft = {}; // Left until a caller without any event goes.
  Duration TimeLeft = {};      // Until the caller goes in any case.
  int Priority = 0;
  AccountId Account;
  DataCentreId DataCentre;
  std::vector<BackendId> Avoid;      // Tried in vain.
  std::vector<EnginePart> RunningOn; // It runs there already.
  bool Decoding = false;             // Its first event has come.
  Duration Waited = {};              // Since it came to its entry host.
  Duration PrefillTimeLeft = {}; // Of one that runs: forecast until it is read;
                                 // zero: it is, or nothing was forecast.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Ticket, M.Service, M.PromptTokens, M.AnswerTokens, M.Objective,
          M.InterEventObjective, M.EventTimeLeft, M.TimeLeft, M.Priority,
          M.Account, M.DataCentre, M.Avoid, M.RunningOn, M.Decoding, M.Waited,
          M.PrefillTimeLeft);
  }
};

struct PlacementReply {
  static constexpr std::uint16_t WireType = 812;
  std::uint64_t Ticket = 0;
  Code Result = Code::Ok; // Else it is refused.
  EnginePart First;       // Receives the request.
  std::vector<EnginePart> Helpers;
  Duration Forecast = {};   // Until the first event.
  Duration RetryAfter = {}; // Of a refusal.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Ticket, M.Result, M.First, M.Helpers, M.Forecast, M.RetryAfter);
  }
};

enum class PlacementStage : std::uint8_t {
  Decoding, // The first event came.
  Ended,    // Nothing of the request is left at its engines.
  Failed,   // Its engine failed it; nothing is left there.
};

/// What became of a placed request.
struct PlacementUpdate {
  static constexpr std::uint16_t WireType = 813;
  std::uint64_t Ticket = 0;
  PlacementStage Stage = PlacementStage::Ended;
  BackendId FaultyServer; // Of Failed; empty: not known.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Ticket, M.Stage, M.FaultyServer);
  }
};

using SiteMessages =
    MessageList<ControlHeartbeat, EntrySync, SiteState, PlacementRequest,
                PlacementReply, PlacementUpdate>;

} // namespace pimento
