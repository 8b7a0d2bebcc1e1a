#include "ctl/Offline.h"

#include "base/Settings.h"
#include "ctl/Table.h"
#include "document/Document.h"

namespace pimento::ctl {

namespace {

std::string dumped(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

/// One error in a file, as text and as JSON.
struct Fault {
  std::string Line;
  Json Fields;
};

using FindFaults = std::vector<Fault> (*)(const NamedText &File);

std::vector<Fault> documentFaults(const NamedText &File) {
  std::vector<Fault> Faults;
  for (const DocumentError &E : checkDocument(File.Text).Errors)
    Faults.push_back(
        {File.Name + ": " + formatError(E),
         {{"path", E.Path}, {"expected", E.Expected}, {"found", E.Found}}});
  return Faults;
}

std::vector<Fault> settingFaults(const NamedText &File) {
  Settings S;
  std::vector<SettingProblem> Problems;
  readSettings(File.Text, File.Name, S, Problems);
  std::vector<Fault> Faults;
  Faults.reserve(Problems.size());
  for (const SettingProblem &P : Problems)
    Faults.push_back({formatProblem(P),
                      {{"code", static_cast<unsigned>(P.Number)},
                       {"line", P.Line},
                       {"section", P.Section},
                       {"key", P.Key},
                       {"expected", P.Expected},
                       {"found", P.Found}}});
  return Faults;
}

Output checkFiles(const std::vector<NamedText> &Files, FindFaults Find,
                  bool AsJson) {
  Output O;
  Json List = Json::array();
  for (const NamedText &File : Files) {
    std::vector<Fault> Faults = Find(File);
    Json Errors = Json::array();
    for (Fault &F : Faults) {
      Errors.push_back(std::move(F.Fields));
      if (!AsJson)
        O.Err += printable(F.Line) + "\n";
    }
    if (!Faults.empty())
      O.Exit = ExitCode::InvalidInput;
    else if (!AsJson)
      O.Out += printable(File.Name) + ": good\n";
    List.push_back({{"file", File.Name},
                    {"good", Faults.empty()},
                    {"errors", std::move(Errors)}});
  }
  if (AsJson)
    O.Out = dumped({{"files", std::move(List)}});
  return O;
}

const char *toString(ChangeKind K) {
  switch (K) {
  case ChangeKind::Added:
    return "added";
  case ChangeKind::Removed:
    return "removed";
  case ChangeKind::Changed:
    break;
  }
  return "changed";
}

std::string changesJson(const ServiceDocument &Old, const ServiceDocument &New,
                        const std::vector<DocumentChange> &Changes) {
  Json List = Json::array();
  for (const DocumentChange &C : Changes)
    List.push_back({{"kind", toString(C.Kind)},
                    {"path", C.Path},
                    {"before", C.Before},
                    {"after", C.After},
                    {"account", C.Account.Value}});
  return dumped({{"service", New.Service.Value},
                 {"old_number", Old.Number},
                 {"new_number", New.Number},
                 {"changes", std::move(List)}});
}

std::string changesText(const ServiceDocument &Old, const ServiceDocument &New,
                        const std::vector<DocumentChange> &Changes) {
  std::string Text = printable(New.Service.Value) + ": number " +
                     std::to_string(Old.Number) + " -> " +
                     std::to_string(New.Number) + "\n";
  for (const DocumentChange &C : Changes)
    Text += printable(formatChange(C)) + "\n";
  return Text + (Changes.empty() ? "nothing changes but the number\n" : "");
}

} // namespace

Output checkDocuments(const std::vector<NamedText> &Files, bool Json) {
  return checkFiles(Files, documentFaults, Json);
}

Output checkSettings(const std::vector<NamedText> &Files, bool Json) {
  return checkFiles(Files, settingFaults, Json);
}

Output diffTexts(const NamedText &Old, const NamedText &New, bool Json) {
  DocumentCheck Before = checkDocument(Old.Text);
  DocumentCheck After = checkDocument(New.Text);
  if (!Before.good() || !After.good())
    return checkDocuments({Old, New}, Json);
  const ServiceDocument &NewDocument = After.Document;
  const ServiceDocument &OldDocument = Before.Document;
  if (OldDocument.Service != NewDocument.Service)
    return failure(ExitCode::InvalidInput, Json, "not_run",
                   Old.Name + " is of " + OldDocument.Service.Value + ", " +
                       New.Name + " of " + NewDocument.Service.Value);
  Output O;
  std::vector<DocumentChange> Changes = diffDocuments(OldDocument, NewDocument);
  O.Out = Json ? changesJson(OldDocument, NewDocument, Changes)
               : changesText(OldDocument, NewDocument, Changes);
  if (NewDocument.Number != OldDocument.Number + 1)
    O.Err = "note: an edit of number " + std::to_string(OldDocument.Number) +
            " needs number " + std::to_string(OldDocument.Number + 1) + "\n";
  return O;
}

} // namespace pimento::ctl
