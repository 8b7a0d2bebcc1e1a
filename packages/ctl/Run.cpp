#include "ctl/Run.h"

#include "base/Ini.h"
#include "ctl/HttpNetwork.h"
#include "ctl/Offline.h"
#include "document/Document.h"
#include "document/Store.h"

#include <algorithm>
#include <cctype>
#include <fstream>
#include <istream>
#include <iterator>

namespace pimento::ctl {

namespace {

constexpr std::size_t MaxTokenBytes = 4096;
constexpr std::size_t MaxFileBytes = std::max(MaxDocumentBytes, MaxIniBytes);

Output usageProblem(const std::string &Why) {
  Output O;
  O.Exit = ExitCode::Usage;
  O.Err = "error: " + Why + "\npimentogladectl --help lists the commands.\n";
  return O;
}

//===----------------------------------------------------------------------===//
// Files and the token
//===----------------------------------------------------------------------===//

/// Reads up to \p Limit + 1 bytes; the extra byte lets the caller detect input
/// that exceeds the limit.
bool readStream(std::istream &From, std::size_t Limit, std::string &Text) {
  Text.resize(Limit + 1);
  From.read(Text.data(), static_cast<std::streamsize>(Text.size()));
  Text.resize(static_cast<std::size_t>(From.gcount()));
  return !From.bad() && (From.eof() || !Text.empty());
}

bool readFile(const std::string &Path, std::size_t Limit, std::string &Text) {
  std::ifstream File(Path, std::ios::binary);
  return File && readStream(File, Limit, Text);
}

bool readInputs(const Command &C, const Session &S,
                std::vector<NamedText> &Inputs, std::string &Why) {
  for (const std::string &Path : C.Files) {
    NamedText Input;
    bool Standard = Path == "-";
    Input.Name = Standard ? "standard input" : Path;
    bool Read = Standard ? readStream(S.In, MaxFileBytes, Input.Text)
                         : readFile(Path, MaxFileBytes, Input.Text);
    if (!Read) {
      Why = "cannot read " + Input.Name;
      return false;
    }
    Inputs.push_back(std::move(Input));
  }
  return true;
}

/// Reads the token and checks that it is valid in an HTTP header. Error
/// messages never contain the token.
bool findToken(const Session &S, std::string &Token, std::string &Why) {
  Token = S.TokenText;
  if (!S.TokenFile.empty() && !readFile(S.TokenFile, MaxTokenBytes, Token)) {
    Why = "cannot read the token file " + S.TokenFile;
    return false;
  }
  while (!Token.empty() &&
         std::isspace(static_cast<unsigned char>(Token.back())))
    Token.pop_back();
  if (Token.empty()) {
    Why = "no operators' token: give --token_file or PIMENTO_OPERATOR_TOKEN";
    return false;
  }
  bool Valid = Token.size() <= MaxTokenBytes &&
               std::all_of(Token.begin(), Token.end(),
                           [](char C) { return C > ' ' && C <= '~'; });
  if (!Valid)
    Why = "the operators' token is not one line of printable ASCII";
  return Valid;
}

//===----------------------------------------------------------------------===//
// Requests
//===----------------------------------------------------------------------===//

std::string targetOf(const Command &C) {
  std::string Service = "/v1/services/" + encodeSegment(C.Service.Value);
  switch (C.Kind) {
  case CommandKind::DocumentHistory:
    return Service + "/history";
  case CommandKind::InForce:
    return Service + "/in-force";
  case CommandKind::Status:
    return "/v1/status";
  case CommandKind::Hosts:
    return "/v1/hosts";
  case CommandKind::Backends:
    return "/v1/backends";
  case CommandKind::QuarantineList:
    return "/v1/quarantine";
  case CommandKind::QuarantineLift:
    return "/v1/quarantine/" + encodeSegment(C.Part);
  case CommandKind::RoutingHosts:
    return "/v1/routing/hosts";
  case CommandKind::Limits:
    return "/v1/limits";
  case CommandKind::Paths:
    return "/v1/paths";
  case CommandKind::Servers:
    return "/v1/servers";
  case CommandKind::EvacuationList:
    return "/v1/evacuations";
  case CommandKind::EvacuationStart:
    return "/v1/evacuations/" + encodeSegment(C.DataCentre.Value) + "/start";
  case CommandKind::EvacuationFinish:
    return "/v1/evacuations/" + encodeSegment(C.DataCentre.Value) + "/finish";
  default:
    return Service + "/document";
  }
}

UpstreamRequest requestOf(const Command &C, const std::string &Token,
                          const std::string &EditId, std::string Body) {
  UpstreamRequest R;
  R.Target = targetOf(C);
  R.Headers.push_back({"Authorization", "Bearer " + Token});
  if (C.Kind == CommandKind::QuarantineLift)
    R.Method = HttpMethod::Delete;
  if (isEvacuationOrder(C.Kind))
    R.Method = HttpMethod::Put;
  if (C.Kind == CommandKind::DocumentPut) {
    R.Method = HttpMethod::Put;
    R.Headers.push_back({"Content-Type", "application/json"});
    R.Headers.push_back({"Idempotency-Key", EditId});
    R.Body = std::move(Body);
  }
  return R;
}

/// Runs a command that contacts hosts. \p File is the document to put or to
/// compare; unused by other commands.
Output runOnline(Command C, const Session &S, const NamedText &File) {
  const Options &O = S.Settings;
  if (O.Operators.empty())
    return usageProblem("no host to ask: give --operator or PIMENTO_OPERATOR");
  std::string Token;
  std::string Why;
  if (!findToken(S, Token, Why))
    return usageProblem(Why);
  if (!C.Files.empty()) {
    DocumentCheck Check = checkDocument(File.Text);
    if (!Check.good())
      return checkDocuments({File}, O.Json);
    C.Service = Check.Document.Service;
  }
  std::string EditId = O.EditId.empty() ? defaultEditId(File.Text) : O.EditId;
  if (isEvacuationOrder(C.Kind))
    EditId.clear();
  Exchange E = exchange(S.Net, O.Operators,
                        requestOf(C, Token, EditId, File.Text), O.Timeout);
  if (C.Kind != CommandKind::DocumentDiff)
    return present(C, EditId, O.Json, E);
  Output Failed;
  if (presentFailure(EditId, O.Json, E, Failed))
    return Failed;
  return diffTexts({"the document in force", E.Reply.Body}, File, O.Json);
}

Output runCommand(const Command &C, const Session &S) {
  std::vector<NamedText> Inputs;
  std::string Why;
  bool Json = S.Settings.Json;
  if (!readInputs(C, S, Inputs, Why))
    return failure(ExitCode::InvalidInput, Json, "not_run", Why);
  switch (C.Kind) {
  case CommandKind::DocumentCheck:
    return checkDocuments(Inputs, Json);
  case CommandKind::SettingsCheck:
    return checkSettings(Inputs, Json);
  case CommandKind::DocumentDiff:
    if (Inputs.size() == 2)
      return diffTexts(Inputs[0], Inputs[1], Json);
    break;
  default:
    break;
  }
  return runOnline(C, S, Inputs.empty() ? NamedText() : Inputs[0]);
}

} // namespace

ExitCode run(const std::vector<std::string> &Words, const Session &S,
             std::ostream &Out, std::ostream &Err) {
  Command C;
  std::string Why;
  Output O;
  if (parseCommand(Words, S.Settings, C, Why))
    O = runCommand(C, S);
  else
    O = usageProblem(Why);
  Out << O.Out << std::flush;
  Err << O.Err << std::flush;
  return O.Exit;
}

} // namespace pimento::ctl
