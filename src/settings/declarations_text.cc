#include "settings/declarations_text.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>
#include <optional>
#include <set>

#include "quetzalspindle/job.h"
#include "settings/ini_items.h"

namespace qs {
namespace {

constexpr uint32_t kMaxOpenTasks = 1'000'000;
constexpr uint32_t kMaxDeadlineMs = 86'400'000;

// Builds the declarations from the items of a text, one item at a time.
class DeclarationReader {
 public:
  DeclarationReader(std::string file, Findings* findings)
      : file_(std::move(file)), findings_(findings) {}

  void Read(const IniItem& item) {
    const size_t space = item.section.find(' ');
    const std::string kind = item.section.substr(0, space);
    const std::string name =
        space == std::string::npos ? "" : item.section.substr(space + 1);
    using Handler =
        void (DeclarationReader::*)(const IniItem&, const std::string&);
    struct Row {
      const char* kind;
      Handler handler;
    };
    static constexpr std::array kRows = {
        Row{"team", &DeclarationReader::ReadTeam},
        Row{"service", &DeclarationReader::ReadService},
        Row{"drain", &DeclarationReader::ReadDrain}};
    const auto* row = std::find_if(
        kRows.begin(), kRows.end(),
        [&](const Row& candidate) { return kind == candidate.kind; });
    if (row == kRows.end() || name.empty()) {
      Add(item,
          "the section is none of [team NAME], [service NAME] and "
          "[drain IP:PORT]");
    } else if (!seen_.insert(item.section + "\n" + item.key).second) {
      Add(item, "given twice");
    } else {
      (this->*row->handler)(item, name);
    }
  }

  Declarations Take() { return std::move(declarations_); }

 private:
  void Add(const IniItem& item, const std::string& text) {
    findings_->Add(item.Place(file_), text);
  }

  std::optional<uint32_t> Number(const IniItem& item, uint32_t max) {
    uint32_t value = 0;
    const char* end = item.value.data() + item.value.size();
    const auto parsed = std::from_chars(item.value.data(), end, value);
    const bool valid = parsed.ec == std::errc() && parsed.ptr == end &&
                       value >= 1 && value <= max;
    if (valid) return value;
    Add(item, "'" + item.value + "' is not a whole number of 1 to " +
                  std::to_string(max));
    return std::nullopt;
  }

  void ReadTeam(const IniItem& item, const std::string& name) {
    if (item.key != "max_open_tasks") return Add(item, "unknown key");
    const auto value = Number(item, kMaxOpenTasks);
    if (value) declarations_.teams[name].max_open_tasks = *value;
  }

  void ReadService(const IniItem& item, const std::string& name) {
    ServiceDeclaration& service = declarations_.services[name];
    if (item.key == "max_tasks_per_job") {
      const auto value = Number(item, kMaxTasksPerJob);
      if (value) service.max_tasks_per_job = *value;
    } else if (item.key == "max_deadline_ms") {
      const auto value = Number(item, kMaxDeadlineMs);
      if (value) service.max_deadline = Millis(*value);
    } else {
      Add(item, "unknown key");
    }
  }

  void ReadDrain(const IniItem& item, const std::string& name) {
    const Result<Address> address = Address::Parse(name);
    if (!address) return Add(item, "'" + name + "' is not IP:port");
    if (item.key != "reason") return Add(item, "unknown key");
    if (item.value.empty()) return Add(item, "must not be empty");
    declarations_.drains[*address].reason = item.value;
  }

  std::string file_;
  Findings* findings_;
  Declarations declarations_;
  std::set<std::string> seen_;
};

}  // namespace

Checked<Declarations> ParseDeclarations(const std::string& file,
                                        const std::string& text) {
  Findings findings;
  DeclarationReader reader(file, &findings);
  for (const IniItem& item : ReadIniItems(file, text, &findings)) {
    reader.Read(item);
  }
  if (!findings.empty()) return tl::unexpected(std::move(findings));
  return reader.Take();
}

std::vector<DeclaredValue> ListDeclarations(const Declarations& declarations) {
  std::vector<DeclaredValue> values;
  for (const auto& [name, team] : declarations.teams) {
    values.push_back({"team " + name, "max_open_tasks",
                      std::to_string(team.max_open_tasks)});
  }
  for (const auto& [name, service] : declarations.services) {
    if (service.max_tasks_per_job > 0) {
      values.push_back({"service " + name, "max_tasks_per_job",
                        std::to_string(service.max_tasks_per_job)});
    }
    if (service.max_deadline > Millis(0)) {
      values.push_back({"service " + name, "max_deadline_ms",
                        std::to_string(service.max_deadline.count())});
    }
  }
  for (const auto& [address, drain] : declarations.drains) {
    values.push_back({"drain " + address.ToString(), "reason", drain.reason});
  }
  std::sort(values.begin(), values.end());
  return values;
}

std::vector<std::string> DiffDeclarations(const Declarations& from,
                                          const Declarations& to) {
  const std::vector<DeclaredValue> old_values = ListDeclarations(from);
  const std::vector<DeclaredValue> new_values = ListDeclarations(to);
  std::vector<std::string> lines;
  const auto add = [&](const char* mark, const std::vector<DeclaredValue>& a,
                       const std::vector<DeclaredValue>& b) {
    std::vector<DeclaredValue> only_in_a;
    std::set_difference(a.begin(), a.end(), b.begin(), b.end(),
                        std::back_inserter(only_in_a));
    for (const DeclaredValue& v : only_in_a) {
      lines.push_back(std::string(mark) + "[" + v.section + "] " + v.key +
                      " = " + v.value);
    }
  };
  add("- ", old_values, new_values);
  add("+ ", new_values, old_values);
  return lines;
}

}  // namespace qs
