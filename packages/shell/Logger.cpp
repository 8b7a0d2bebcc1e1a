#include "shell/Logger.h"

#include "base/Json.h"
#include "shell/LineWriter.h"

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
#include <map>
#include <unistd.h>

namespace pimento {

namespace {

using TextBackend = boost::log::sinks::text_ostream_backend;

/// Sink for standard output, whose reader may stop reading.
class StdoutBackend : public boost::log::sinks::basic_formatted_sink_backend<
                          char, boost::log::sinks::synchronized_feeding> {
public:
  void consume(const boost::log::record_view &, const std::string &Line) {
    addLine(Writer, Line, Urgent);
  }

  LineWriter Writer = makeLineWriter(STDOUT_FILENO);
  bool Urgent = false; // Whether the next line is urgent.
};

/// Kind of the final line of a request, which operators look for first.
constexpr const char *FinalLineKind = "request";
/// Line limit of that kind, as a multiple of the limit of other kinds.
constexpr std::uint64_t FinalLineFactor = 4;

/// Line counts of one kind in the current second.
struct KindCount {
  std::int64_t Second = 0;
  std::uint64_t Lines = 0;
  std::uint64_t Suppressed = 0;
};

std::int64_t steadySecond() {
  return std::chrono::duration_cast<seconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

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

/// Returns the UTC time, such as 2026-01-31T12:34:56.789Z.
std::string wallTime() {
  auto Now = std::chrono::system_clock::now().time_since_epoch();
  auto Millis = std::chrono::duration_cast<milliseconds>(Now).count();
  constexpr std::int64_t PerSecond = 1000;
  std::time_t WholeSeconds = Millis / PerSecond;
  std::tm Parts{};
  gmtime_r(&WholeSeconds, &Parts);
  char Text[40];
  std::size_t Size = std::strftime(Text, sizeof(Text), "%FT%T", &Parts);
  std::snprintf(Text + Size, sizeof(Text) - Size, ".%03dZ",
                static_cast<int>(Millis % PerSecond));
  return Text;
}

} // namespace

struct Logger::Impl {
  LogLevel MinLevel = LogLevel::Info;
  HostId Host;
  std::uint64_t LinesPerSecond = 0;
  std::map<std::string, KindCount> Kinds;
  boost::shared_ptr<boost::log::sinks::sink> Output;
  /// Null if the log goes to a file or to standard error.
  boost::shared_ptr<StdoutBackend> Stdout;
  boost::log::sources::logger Source;

  bool admit(const char *Kind);
  void emit(LogLevel Level, const DecisionRecord &Record);
};

template <class SinkBackend>
boost::shared_ptr<boost::log::sinks::sink>
makeSink(boost::shared_ptr<SinkBackend> Lines) {
  using Sink = boost::log::sinks::synchronous_sink<SinkBackend>;
  auto Output = boost::make_shared<Sink>(Lines);
  Output->set_formatter(boost::log::expressions::stream
                        << boost::log::expressions::smessage);
  return Output;
}

/// Whether the rate limit admits one more line of this kind. The first line of
/// a later second is preceded by a report of the suppressed lines.
bool Logger::Impl::admit(const char *Kind) {
  KindCount &Count = Kinds[Kind];
  std::int64_t Second = steadySecond();
  if (Count.Second != Second) {
    std::uint64_t Suppressed = Count.Suppressed;
    Count = KindCount();
    Count.Second = Second;
    if (Suppressed > 0) {
      DecisionRecord Record;
      Record.Kind = "lines_left_out";
      Record.Reason = Kind;
      Record.add("count", static_cast<std::int64_t>(Suppressed));
      emit(LogLevel::Warning, Record);
    }
  }
  std::uint64_t Bound = LinesPerSecond;
  if (std::string_view(Kind) == FinalLineKind)
    Bound *= FinalLineFactor;
  if (Count.Lines < Bound) {
    ++Count.Lines;
    return true;
  }
  ++Count.Suppressed;
  return false;
}

LogLevel logLevelOf(std::string_view Name) {
  for (LogLevel Level : {LogLevel::Debug, LogLevel::Warning, LogLevel::Error}) {
    if (Name == nameOf(Level))
      return Level;
  }
  return LogLevel::Info;
}

Logger::Logger(const LogSettings &Settings, HostId Host)
    : Data(std::make_unique<Impl>()) {
  Data->MinLevel = logLevelOf(Settings.Level);
  Data->Host = std::move(Host);
  Data->LinesPerSecond = Settings.LinesPerSecond;
  if (Settings.File == "stdout") {
    Data->Stdout = boost::make_shared<StdoutBackend>();
    Data->Output = makeSink(Data->Stdout);
  } else {
    auto Lines = boost::make_shared<TextBackend>();
    auto File = boost::make_shared<std::ofstream>();
    if (!Settings.File.empty())
      File->open(Settings.File, std::ios::app);
    if (File->is_open())
      Lines->add_stream(File);
    else
      Lines->add_stream(
          boost::shared_ptr<std::ostream>(&std::clog, boost::null_deleter()));
    Lines->auto_flush(true);
    Data->Output = makeSink(Lines);
  }
  boost::log::core::get()->add_sink(Data->Output);
}

Logger::~Logger() {
  flush();
  boost::log::core::get()->remove_sink(Data->Output);
}

void Logger::Impl::emit(LogLevel Level, const DecisionRecord &Record) {
  Json Line = {{"time", wallTime()},
               {"level", nameOf(Level)},
               {"host", Host.Value},
               {"kind", Record.Kind}};
  if (!Record.Request.empty())
    Line["request"] = toString(Record.Request);
  if (!Record.Reason.empty())
    Line["reason"] = Record.Reason;
  for (const DecisionField &Field : Record.Fields) {
    // A record may have a field "host" about another host than the writer.
    std::string Name = Field.Name;
    if (Line.contains(Name))
      Name.insert(0, "about_");
    std::visit([&](const auto &Value) { Line[Name] = Value; }, Field.Value);
  }
  if (Stdout)
    Stdout->Urgent = std::string_view(Record.Kind) == FinalLineKind;
  BOOST_LOG(Source) << Line.dump(-1, ' ', false,
                                 Json::error_handler_t::replace);
}

void Logger::write(LogLevel Level, const DecisionRecord &Record) {
  if (Level >= Data->MinLevel && Data->admit(Record.Kind))
    Data->emit(Level, Record);
}

void Logger::flush() {
  if (Data->Stdout)
    flushLines(Data->Stdout->Writer);
}

std::uint64_t Logger::linesDropped() const {
  return Data->Stdout ? Data->Stdout->Writer.DroppedLines : 0;
}

void Logger::write(LogLevel Level, const char *Kind, std::string Reason) {
  DecisionRecord Record;
  Record.Kind = Kind;
  Record.Reason = std::move(Reason);
  write(Level, Record);
}

} // namespace pimento
