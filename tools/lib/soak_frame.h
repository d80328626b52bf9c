#pragma once

#include <CLI/CLI.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <thread>
#include <vector>

namespace qs {

// What every soak can be told.
struct SoakOptions {
  int guards = 0;
  uint32_t seed = 1;
  int failures = 0;
  int callers = 0;
};

void AddSoakOptions(CLI::App* app, SoakOptions* options, int max_guards = 50);

// Runs `caller` on so many threads, with their numbers.
std::vector<std::thread> StartCallers(int count,
                                      const std::function<void(int)>& caller);

// Prints a line a promise and returns whether every one held.
bool PrintViolations(const std::map<std::string, int>& violations);

}  // namespace qs
