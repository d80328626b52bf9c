#pragma once

#include <cstddef>
#include <cstdint>

namespace qs {

// How much of a machine's memory the tables may take that clients can fill. The
// rest is left to the program, to the decoding of one request at a time, and to
// what the allocator keeps.
struct MemoryPlan {
  bool is_known = false;
  // Sockets of HTTP clients: what the system receives ahead of what is read.
  size_t connection_bytes = 0;
  size_t cancel_bytes = 0;  // Cancels that an entry remembers.
  size_t intake_bytes = 0;  // Requests that are read, and answers.
  // Jobs of callers at an entry with their runs; runs at a guard.
  size_t work_bytes = 0;
  // One frame of another process, and the frames that wait for one to read
  // them.
  size_t frame_bytes = 0;

  // Connections for which there is memory, at most `most`.
  size_t MaxConnections(size_t receive_buffer_bytes, size_t most) const;
  // Cancels that there is memory to remember, at most `most`.
  size_t MaxCancels(size_t most) const;

  // If `memory_mb` is 0, the machine does not say what it has. Then the
  // settings alone bound requests and frames, and work is bounded as on the
  // smallest machine that the program runs on.
  static MemoryPlan Make(uint32_t memory_mb);
};

}  // namespace qs
