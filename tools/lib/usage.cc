#include "lib/usage.h"

#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>

namespace qs {

Usage UsageOf(pid_t pid) {
  Usage usage;
  std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
  std::string line;
  std::getline(stat, line);
  std::istringstream fields(line.substr(line.rfind(')') + 2));
  std::string word;
  constexpr int kUserTimeField = 11;
  double ticks = 0;
  for (int i = 0; fields >> word; ++i) {
    const bool is_time = i == kUserTimeField || i == kUserTimeField + 1;
    if (is_time) ticks += std::stod(word);
  }
  usage.cpu_seconds = ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  while (std::getline(status, line)) {
    if (line.starts_with("VmHWM:")) {
      usage.peak_mb = std::stod(line.substr(6)) / 1024;
    }
  }
  return usage;
}

}  // namespace qs
