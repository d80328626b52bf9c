#pragma once

#include <string>

#include "core/executor.h"
#include "quetzalspindle/result.h"

namespace qs {

// What a backend server posts to its guard. Fails with every fault.
Checked<Announcement> ParseAnnouncement(const std::string& body);

}  // namespace qs
