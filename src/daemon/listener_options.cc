#include "daemon/listener_options.h"

#include <algorithm>

#include "daemon/process_routes.h"
#include "kernel/kernel.h"

namespace qs {

HttpServerOptions ListenerOptions(Kernel* kernel) {
  const Settings& settings = kernel->settings;
  HttpServerOptions options = ProcessHttpOptions();
  options.max_body_bytes = settings.max_other_body_bytes;
  options.request_timeout = settings.request_timeout;
  options.idle_timeout = settings.idle_timeout;
  options.limits.max_line_bytes = settings.max_line_bytes;
  options.limits.max_header_bytes = settings.max_header_bytes;
  options.limits.max_headers = settings.max_headers;
  options.header_timeout = settings.header_timeout;
  options.body_gap_timeout = settings.body_gap_timeout;
  options.receive_buffer_bytes =
      static_cast<int>(settings.receive_buffer_bytes);
  options.intake = &kernel->intake;
  return options;
}

void LimitBodies(const Kernel& kernel, HttpServerOptions* options) {
  constexpr size_t kKib = 1024;
  constexpr size_t kPercent = 100;
  const Settings& settings = kernel.settings;
  MemoryBudgetLimits& bodies = options->bodies;
  bodies.ordinary_bytes = settings.ordinary_kib * kKib * kCopiesOfBody;
  // Large bodies are what this interface is for, so they have most of it.
  bodies.ordinary_percent = (kPercent - settings.ordinary_percent);
  const size_t large_percent = kPercent - bodies.ordinary_percent;
  if (kernel.memory.is_known) {
    bodies.max_bytes = kernel.memory.intake_bytes;
    options->max_body_bytes =
        std::min(options->max_body_bytes,
                 bodies.max_bytes / kPercent * large_percent / kCopiesOfBody);
  } else {
    bodies.max_bytes =
        (options->max_body_bytes * kCopiesOfBody / large_percent + 1) *
        kPercent;
  }
}

}  // namespace qs
