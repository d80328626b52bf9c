#pragma once

#include <sys/types.h>

namespace qs {

struct Usage {
  double cpu_seconds = 0;
  double peak_mb = 0;
};

// Processor time and peak memory of a process so far.
Usage UsageOf(pid_t pid);

}  // namespace qs
