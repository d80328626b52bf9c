#include "lib/soak_frame.h"

#include <cstdio>

namespace qs {

void AddSoakOptions(CLI::App* app, SoakOptions* options, int max_guards) {
  app->add_option("--guards", options->guards)
      ->check(CLI::Range(2, max_guards));
  app->add_option("--seed", options->seed);
  app->add_option("--failures", options->failures)
      ->check(CLI::Range(0, 10'000));
  app->add_option("--callers", options->callers)->check(CLI::Range(1, 1000));
}

std::vector<std::thread> StartCallers(int count,
                                      const std::function<void(int)>& caller) {
  std::vector<std::thread> threads;
  threads.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i) threads.emplace_back(caller, i);
  return threads;
}

bool PrintViolations(const std::map<std::string, int>& violations) {
  bool held = true;
  for (const auto& [promise, count] : violations) {
    std::printf("%s: %d violations\n", promise.c_str(), count);
    held = held && count == 0;
  }
  return held;
}

}  // namespace qs
