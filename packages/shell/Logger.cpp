#include "shell/Logger.h"

#include "base/Json.h"

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>

#include <chrono>
#include <ctime>
#include <fstream>
#include <iostream>

namespace pimento {

namespace {

using Backend = boost::log::sinks::text_ostream_backend;
using Sink = boost::log::sinks::synchronous_sink<Backend>;

const char *nameOf(LogLevel Level) {
  switch (Level) {
  case LogLevel::Debug:
    return "debug";
  case LogLevel::Info:
    return "info";
  case LogLevel::Warning:
    return "warning";
  case LogLevel::Error:
    return "error";
  }
  return "info";
}

/// Such as 2026-01-31T12:34:56.789Z.
std::string wallTime() {
  auto Now = std::chrono::system_clock::now().time_since_epoch();
  auto Millis = std::chrono::duration_cast<milliseconds>(Now).count();
  constexpr std::int64_t PerSecond = 1000;
  std::time_t Whole = Millis / PerSecond;
  std::tm Parts{};
  gmtime_r(&Whole, &Parts);
  char Text[40];
  std::size_t Size = std::strftime(Text, sizeof(Text), "%FT%T", &Parts);
  std::snprintf(Text + Size, sizeof(Text) - Size, ".%03dZ",
                static_cast<int>(Millis % PerSecond));
  return Text;
}

} // namespace

struct Logger::Impl {
  LogLevel Least = LogLevel::Info;
  HostId Host;
  boost::shared_ptr<Sink> Output;
  boost::log::sources::logger Source;
};

LogLevel logLevelOf(std::string_view Name) {
  for (LogLevel Level : {LogLevel::Debug, LogLevel::Warning, LogLevel::Error}) {
    if (Name == nameOf(Level))
      return Level;
  }
  return LogLevel::Info;
}

Logger::Logger(const LogSettings &Settings, HostId Host)
    : Data(std::make_unique<Impl>()) {
  Data->Least = logLevelOf(Settings.Level);
  Data->Host = std::move(Host);
  auto Lines = boost::make_shared<Backend>();
  auto File = boost::make_shared<std::ofstream>();
  if (!Settings.File.empty())
    File->open(Settings.File, std::ios::app);
  if (File->is_open())
    Lines->add_stream(File);
  else
    Lines->add_stream(
        boost::shared_ptr<std::ostream>(&std::clog, boost::null_deleter()));
  Lines->auto_flush(true);
  Data->Output = boost::make_shared<Sink>(Lines);
  Data->Output->set_formatter(boost::log::expressions::stream
                              << boost::log::expressions::smessage);
  boost::log::core::get()->add_sink(Data->Output);
}

Logger::~Logger() { boost::log::core::get()->remove_sink(Data->Output); }

void Logger::write(LogLevel Level, const DecisionRecord &Record) {
  if (Level < Data->Least)
    return;
  Json Line = {{"time", wallTime()},
               {"level", nameOf(Level)},
               {"host", Data->Host.Value},
               {"kind", Record.Kind}};
  if (!Record.Request.empty())
    Line["request"] = toString(Record.Request);
  if (!Record.Reason.empty())
    Line["reason"] = Record.Reason;
  for (const DecisionField &Field : Record.Fields)
    std::visit([&](const auto &Value) { Line[Field.Name] = Value; },
               Field.Value);
  BOOST_LOG(Data->Source) << Line.dump(-1, ' ', false,
                                       Json::error_handler_t::replace);
}

void Logger::write(LogLevel Level, const char *Kind, std::string Reason) {
  DecisionRecord Record;
  Record.Kind = Kind;
  Record.Reason = std::move(Reason);
  write(Level, Record);
}

} // namespace pimento
