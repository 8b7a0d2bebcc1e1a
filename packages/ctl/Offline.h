//===- Offline.h - Commands that ask no host --------------------*- C++ -*-===//
#pragma once

#include "ctl/Present.h"

#include <string>
#include <vector>

namespace pimento::ctl {

/// A file's name, for messages, and its text.
struct NamedText {
  std::string Name;
  std::string Text;
};

/// Lists every fault of every document.
Output checkDocuments(const std::vector<NamedText> &Files, bool Json);

/// What the edit from \p Old to \p New changes, and for whom.
Output diffTexts(const NamedText &Old, const NamedText &New, bool Json);

/// Lists every fault of every settings file.
Output checkSettings(const std::vector<NamedText> &Files, bool Json);

} // namespace pimento::ctl
