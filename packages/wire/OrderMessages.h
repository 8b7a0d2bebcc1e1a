//===- OrderMessages.h - Messages to the planner of orders ------*- C++ -*-===//
#pragma once

#include "base/Ids.h"
#include "wire/MessageList.h"
#include "wire/ScheduleMessages.h"

#include <cstdint>

namespace pimento {

/// Demand on one cell (a bounded number of engines of one model). Sent by the
/// host that schedules the cell to the leader of the control group.
struct DemandReport {
  static constexpr std::uint16_t WireType = 601;
  CellId Cell{};
  std::uint64_t Epoch = 0; // Number of the scheduler's lease on the cell.
  ModelName Model;
  std::uint64_t Waiting = 0; // Requests in the queue.
  std::uint64_t Engines = 0; // Engines in the cell.

  template <class Self, class Visitor>
  static void fields(Self &M, Visitor &&Visit) {
    Visit(M.Cell, M.Epoch, M.Model, M.Waiting, M.Engines);
  }
};

using OrderMessages = MessageList<DemandReport>;

} // namespace pimento
