#pragma once

#include <string>
#include <vector>

#include "core/declarations.h"
#include "quetzalspindle/result.h"

namespace qs {

// Parses the operators' declarations, an INI text with the sections
//   [team NAME]        max_open_tasks = 1 to 1000000
//   [service NAME]     max_tasks_per_job = 1 to 640
//                      max_deadline_ms = 1 to 86400000
//   [drain IP:PORT]    reason = text
// On failure, reports all faults. `file` is the name of the text in the
// findings.
Checked<Declarations> ParseDeclarations(const std::string& file,
                                        const std::string& text);

// One declared value, in the form in which operators list and compare it.
struct DeclaredValue {
  std::string section;
  std::string key;
  std::string value;
  auto operator<=>(const DeclaredValue&) const = default;
};
std::vector<DeclaredValue> ListDeclarations(const Declarations& declarations);

// The differences between two sets of declarations, one line per value: "- "
// before a value only in `from`, "+ " before a value only in `to`. Empty if
// they are equal.
std::vector<std::string> DiffDeclarations(const Declarations& from,
                                          const Declarations& to);

}  // namespace qs
