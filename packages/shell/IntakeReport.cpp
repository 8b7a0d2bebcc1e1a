#include "shell/IntakeReport.h"

namespace pimento {

std::vector<MetricSample> intakeGauges(const HttpIntake &Intake) {
  std::vector<MetricSample> Samples;
  auto Gauge = [&](const char *Name, const char *Labels, std::uint64_t Value) {
    Samples.push_back(
        {SampleKind::Gauge, Name, Labels, static_cast<double>(Value)});
  };
  const IntakeAccount &A = Intake.Account;
  Gauge("pimento_intake_limit_bytes", "", A.LimitBytes);
  Gauge("pimento_intake_bytes", "part=\"unfinished\"", A.UnfinishedBytes);
  Gauge("pimento_intake_bytes", "part=\"heads\"", A.HeadBytes);
  Gauge("pimento_intake_bytes", "part=\"output\"", A.OutputBytes);
  Gauge("pimento_intake_bytes", "part=\"state\"", A.StateBytes);
  const IntakeCounters &C = Intake.Counters;
  Gauge("pimento_intake_refused", "what=\"unfinished\"", C.Unfinished);
  Gauge("pimento_intake_refused", "what=\"whole\"", C.Whole);
  Gauge("pimento_intake_refused", "what=\"answer\"", C.Answers);
  Gauge("pimento_intake_freed_bytes", "", C.Bytes);
  return Samples;
}

std::uint64_t refusals(const IntakeCounters &C) {
  return C.Unfinished + C.Whole + C.Answers;
}

DecisionRecord intakeRecord(const HttpIntake &Intake,
                            const IntakeCounters &Before) {
  auto Number = [](std::uint64_t N) { return static_cast<std::int64_t>(N); };
  const IntakeCounters &C = Intake.Counters;
  DecisionRecord Record;
  Record.Kind = "intake_full";
  Record.Reason = "requests and answers exceed the memory for them";
  Record.add("unfinished", Number(C.Unfinished - Before.Unfinished));
  Record.add("whole", Number(C.Whole - Before.Whole));
  Record.add("answers", Number(C.Answers - Before.Answers));
  Record.add("freed_bytes", Number(C.Bytes - Before.Bytes));
  Record.add("held_bytes", Number(totalBytes(Intake.Account)));
  Record.add("limit_bytes", Number(Intake.Account.LimitBytes));
  return Record;
}

} // namespace pimento
