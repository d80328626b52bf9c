#pragma once

#include <string>
#include <vector>

#include "quetzalspindle/findings.h"

namespace qs {

// One key of an INI text and where it stands.
struct IniItem {
  int line = 0;
  std::string section;
  std::string key;
  std::string value;

  // "file:line [section] key".
  std::string Place(const std::string& file) const;
};

// Every key of an INI text in its order. Lines that are no INI are left out and
// added to the findings.
std::vector<IniItem> ReadIniItems(const std::string& file,
                                  const std::string& text, Findings* findings);

}  // namespace qs
