#include "base/Codes.h"

namespace pimento {

namespace {

const CodeInfo Table[] = {
#define PIMENTO_CODE(Number, Name, HttpStatus, OutcomeName, Meaning)           \
  {Code::Name, #Name, HttpStatus, Outcome::OutcomeName, Meaning},
#include "base/Codes.def"
#undef PIMENTO_CODE
    {Code::Ok, nullptr, 0, Outcome::Answered, nullptr},
};

const CodeInfo *find(std::uint16_t Number) {
  for (const CodeInfo *Row = Table; Row->Name; ++Row) {
    if (static_cast<std::uint16_t>(Row->Number) == Number)
      return Row;
  }
  return nullptr;
}

} // namespace

const CodeInfo *codeTable() { return Table; }

const CodeInfo &info(Code C) {
  const CodeInfo *Row = find(static_cast<std::uint16_t>(C));
  return Row ? *Row : info(Code::BackendFailed);
}

bool codeFromNumber(std::uint16_t Number, Code &C) {
  const CodeInfo *Row = find(Number);
  if (!Row)
    return false;
  C = Row->Number;
  return true;
}

const char *toString(Outcome O) {
  switch (O) {
  case Outcome::Answered:
    return "answered";
  case Outcome::NotRun:
    return "not_run";
  case Outcome::Unknown:
    return "unknown";
  case Outcome::Failed:
    return "failed";
  }
  return "failed";
}

} // namespace pimento
