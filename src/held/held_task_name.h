#pragma once

#include <cstdint>
#include <string>

namespace qs {

// The name of a task of a held job, the same at all entries.
inline std::string TaskName(const std::string& job, uint32_t step,
                            uint32_t index) {
  return job + ".0." + std::to_string(step) + "." + std::to_string(index);
}

// The id of the job to which the task with this name belongs; empty if the name
// is not one of a task.
inline std::string JobOf(const std::string& task_name) {
  constexpr int kPartsAfterJob = 3;
  size_t end = task_name.size();
  for (int part = 0; part < kPartsAfterJob && end > 0; ++part) {
    const size_t dot = task_name.rfind('.', end - 1);
    if (dot == std::string::npos) return {};
    end = dot;
  }
  return task_name.substr(0, end);
}

}  // namespace qs
