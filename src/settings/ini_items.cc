#include "settings/ini_items.h"

#include <ini.h>

#include <cstdio>
#include <sstream>
#include <utility>

namespace qs {
namespace {

// One pass of inih over a text. inih does not pass line numbers to its handler,
// so the callback that supplies the lines counts them.
struct IniPass {
  const std::vector<std::string>* lines;
  size_t next = 0;
  std::vector<IniItem> items;

  static char* Read(char* buffer, int size, void* self) {
    auto* pass = static_cast<IniPass*>(self);
    if (pass->next >= pass->lines->size()) return nullptr;
    const std::string& line = (*pass->lines)[pass->next++];
    std::snprintf(buffer, static_cast<size_t>(size), "%s\n", line.c_str());
    return buffer;
  }

  static int Handle(void* self, const char* section, const char* key,
                    const char* value) {
    auto* pass = static_cast<IniPass*>(self);
    pass->items.push_back({static_cast<int>(pass->next), section, key, value});
    return 1;
  }
};

constexpr size_t kMaxLineLength = 198;  // inih truncates longer lines.

std::string LinePlace(const std::string& file, size_t line) {
  return file + ":" + std::to_string(line);
}

}  // namespace

std::string IniItem::Place(const std::string& file) const {
  return LinePlace(file, static_cast<size_t>(line)) + " [" + section + "] " +
         key;
}

std::vector<IniItem> ReadIniItems(const std::string& file,
                                  const std::string& text, Findings* findings) {
  std::vector<std::string> lines;
  std::istringstream stream(text);
  for (std::string line; std::getline(stream, line);) {
    lines.push_back(std::move(line));
  }
  for (size_t i = 0; i < lines.size(); ++i) {
    if (lines[i].size() <= kMaxLineLength &&
        lines[i].find('\0') == std::string::npos) {
      continue;
    }
    findings->Add(LinePlace(file, i + 1),
                  "the line is too long or contains a NUL byte");
    lines[i].clear();
  }
  // inih reports only the first invalid line. Clears that line and parses the
  // text again, until no invalid line is left.
  while (true) {
    IniPass pass{&lines, 0, {}};
    const int fault =
        ini_parse_stream(&IniPass::Read, &pass, &IniPass::Handle, &pass);
    if (fault <= 0) return std::move(pass.items);
    const auto index = static_cast<size_t>(fault) - 1;
    findings->Add(
        LinePlace(file, index + 1),
        "the line is neither [section] nor key = value: " + lines[index]);
    lines[index].clear();
  }
}

}  // namespace qs
