#include "held/announcement_order.h"

namespace qs {
namespace {

// A clock in an announcement may be this much ahead of the worker's time as it
// is estimated from its answers.
constexpr Millis kClockTolerance{1000};

bool HasOwnClock(const WorkerAnnouncement& announcement,
                 const std::optional<Millis>& worker_now) {
  return announcement.worker_clock &&
         (!worker_now ||
          *announcement.worker_clock <= *worker_now + kClockTolerance);
}

}  // namespace

AnnouncementOrder OrderOf(const WorkerAnnouncement& announcement,
                          const WorkerAnnouncement& present,
                          const std::optional<Millis>& worker_now) {
  const bool is_own = HasOwnClock(announcement, worker_now);
  const bool is_present_own = HasOwnClock(present, worker_now);
  if (is_own && is_present_own &&
      announcement.worker_clock != present.worker_clock) {
    return announcement.worker_clock > present.worker_clock
               ? AnnouncementOrder::kNewer
               : AnnouncementOrder::kLate;
  }
  if (is_own != is_present_own) {
    return is_own ? AnnouncementOrder::kNewer : AnnouncementOrder::kOtherWriter;
  }
  if (!is_own && announcement.worker_clock) {
    return AnnouncementOrder::kOtherWriter;
  }
  return announcement.sequence > present.sequence ? AnnouncementOrder::kNewer
                                                  : AnnouncementOrder::kLate;
}

}  // namespace qs
