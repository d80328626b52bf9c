#pragma once

#include <string>

#include "core/executor.h"
#include "quetzalspindle/result.h"

namespace qs {

// Parses the announcement that a backend server posts to its guard. On failure,
// returns a finding for every fault.
Checked<Announcement> ParseAnnouncement(const std::string& body);

}  // namespace qs
