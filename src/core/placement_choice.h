#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace qs {

// Why a task of a held job goes to its worker, or why it does not go now.
enum class PlacementChoice : uint8_t {
  kOnTime,  // It is as likely on time there as anywhere.
  // The same, and the worker is slow, which leaves the fast ones to others.
  kTimeToSpare,
  kTrial,   // To learn whether the worker is still slow.
  kQueued,  // It waits at the guard for a faster worker than the free ones.
  kLate,    // It will be late anywhere.
  kHeld,    // Not now: it waits at the entry for a faster worker.
  kNone     // Not now: no worker can take it.
};
inline constexpr size_t kPlacementChoices = 7;

inline std::string_view PlacementChoiceName(PlacementChoice choice) {
  constexpr std::array<std::string_view, kPlacementChoices> kNames = {
      "on_time", "time_to_spare", "trial", "queued", "late", "held", "none"};
  return kNames.at(static_cast<size_t>(choice));
}

}  // namespace qs
