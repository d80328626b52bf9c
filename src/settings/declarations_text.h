#pragma once

#include <string>
#include <vector>

#include "core/declarations.h"
#include "quetzalspindle/result.h"

namespace qs {

// Reads the operators' declarations, an INI text with the sections
//   [team NAME]        max_open_tasks = 1 to 1000000
//   [service NAME]     max_tasks_per_job = 1 to 640
//                      max_deadline_ms = 1 to 86400000
//   [drain IP:PORT]    reason = text
// Fails with all faults. `file` names the text in the findings.
Checked<Declarations> ParseDeclarations(const std::string& file,
                                        const std::string& text);

// One declared value, as operators list and compare it.
struct DeclaredValue {
  std::string section;
  std::string key;
  std::string value;
  auto operator<=>(const DeclaredValue&) const = default;
};
std::vector<DeclaredValue> ListDeclarations(const Declarations& declarations);

// What changes from one set of declarations to another, a line each: "- " or
// "+ " and the value. Empty when nothing changes.
std::vector<std::string> DiffDeclarations(const Declarations& from,
                                          const Declarations& to);

}  // namespace qs
