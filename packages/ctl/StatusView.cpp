#include "ctl/StatusView.h"

#include "ctl/Table.h"

#include <utility>

namespace pimento::ctl {

namespace {

std::string section(const char *Title, const std::string &Body) {
  return std::string("\n") + Title + "\n" + Body;
}

/// Removes \p Key from \p From and returns its value, so that the remaining
/// keys can be shown generically.
Json take(Json &From, const char *Key) {
  if (!From.is_object() || !From.contains(Key))
    return nullptr;
  Json Value = std::move(From[Key]);
  From.erase(Key);
  return Value;
}

std::string documentsView(const Json &Documents) {
  Json Rows = Json::array();
  if (Documents.is_object()) {
    for (const auto &Item : Documents.items())
      Rows.push_back({{"service", Item.key()}, {"number", Item.value()}});
  }
  return table(Rows, {"service", "number"});
}

std::string ordersView(Json Orders) {
  Json Engines = take(Orders, "engines");
  std::string Text = fields(
      Orders, {"issuing", "term", "last_fence", "open", "loads", "load_limit"});
  return Text + "engines under orders\n" +
         table(Engines, {"backend", "target", "open", "failures"});
}

/// Removes the progress of other members unless this host leads the log: only
/// the leader knows it.
void removeUnknownProgress(Json &Member, const Json &Log, const Json &Self) {
  if (Log.value("role", Json(nullptr)) == Json("leader") ||
      Member.value("host", Json(nullptr)) == Self)
    return;
  for (const char *Key : {"synced", "silence_ms", "caught_up"})
    Member.erase(Key);
}

/// Returns one table row for each member of each log.
Json membersOf(Json &Logs, const Json &Self) {
  Json Members = Json::array();
  if (!Logs.is_array())
    return Members;
  for (Json &Log : Logs) {
    for (Json &Member : take(Log, "members")) {
      if (!Member.is_object())
        continue;
      Member["group"] = Log.value("group", Json(nullptr));
      removeUnknownProgress(Member, Log, Self);
      Json Learner = take(Member, "learner");
      Member["kind"] = Learner == Json(true) ? "learner" : "voter";
      Members.push_back(std::move(Member));
    }
  }
  return Members;
}

} // namespace

std::string statusView(Json Status) {
  Json Fresh = take(Status, "fresh");
  Json Documents = take(Status, "documents");
  Json Cells = take(Status, "cells");
  Json Claims = take(Status, "claims");
  Json Orders = take(Status, "orders");
  Json Logs = take(Status, "logs");
  Json Members = membersOf(Logs, Status.value("host", Json(nullptr)));
  std::string Text = fields(Status, {"host", "life", "phase", "ready",
                                     "requests", "request_bytes", "cleanups"});
  Text += section("freshness",
                  fields(Fresh, {"serving", "reason", "age_ms", "reports"}));
  Text += section("documents in force", documentsView(Documents));
  Text += section(
      "cells and their queues (figures at the holder only)",
      table(Cells, {"model", "index", "holder", "epoch", "waiting", "grants",
                    "accounts", "engines", "ejected", "memory_tokens",
                    "held_tokens", "cancelling_tokens", "prefix_entries"}));
  Text += section("claims", table(Claims, {"group", "leading", "records",
                                           "waiting", "answer_bytes"}));
  Text += section("orders", ordersView(std::move(Orders)));
  Text += section("logs (of a host with a disk)",
                  table(Logs, {"group", "role", "leader", "term", "lease",
                               "formed", "admitted", "last_index", "synced",
                               "commit", "applied", "snapshot_index"}));
  Text += section("members of the logs (figures of others at the leader only)",
                  table(Members, {"group", "host", "kind", "synced",
                                  "silence_ms", "caught_up"}));
  return Text;
}

} // namespace pimento::ctl
