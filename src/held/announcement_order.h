#pragma once

#include <cstdint>
#include <optional>

#include "quetzalspindle/time.h"
#include "quetzalspindle/worker_protocol.h"

namespace qs {

enum class AnnouncementOrder : uint8_t {
  kNewer,
  kLate,        // It was sent before the present one.
  kOtherWriter  // It was not sent by the worker.
};

// Compares an announcement with the present one of the same incarnation.
// `worker_now` is the worker's time, as known from its answers to calls, or
// nothing if there was none. Where the worker states its clock, that orders its
// announcements, as it can be checked: a sequence number by another writer
// would hide those of the worker.
AnnouncementOrder OrderOf(const WorkerAnnouncement& announcement,
                          const WorkerAnnouncement& present,
                          const std::optional<Millis>& worker_now);

}  // namespace qs
