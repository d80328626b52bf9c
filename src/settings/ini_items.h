#pragma once

#include <string>
#include <vector>

#include "quetzalspindle/findings.h"

namespace qs {

// One key of an INI text, with its value and location.
struct IniItem {
  int line = 0;
  std::string section;
  std::string key;
  std::string value;

  // The location in the form "file:line [section] key".
  std::string Place(const std::string& file) const;
};

// Parses an INI text and returns its keys in their order. Lines that are not
// valid INI are skipped and reported in `findings`.
std::vector<IniItem> ReadIniItems(const std::string& file,
                                  const std::string& text, Findings* findings);

}  // namespace qs
