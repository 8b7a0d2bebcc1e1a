//===- Offline.h - Commands that contact no host ----------------*- C++ -*-===//
#pragma once

#include "ctl/Present.h"

#include <string>
#include <vector>

namespace pimento::ctl {

/// Contents of a file, and its name for messages.
struct NamedText {
  std::string Name;
  std::string Text;
};

/// Lists all errors of all documents. Exits with InvalidInput if there are any.
Output checkDocuments(const std::vector<NamedText> &Files, bool Json);

/// Lists the changes from \p Old to \p New and the client accounts that they
/// affect.
Output diffTexts(const NamedText &Old, const NamedText &New, bool Json);

/// Lists all errors of all settings files. Exits with InvalidInput if there are
/// any.
Output checkSettings(const std::vector<NamedText> &Files, bool Json);

} // namespace pimento::ctl
