#pragma once

namespace qs {

inline constexpr const char* kVersion = "0.1.0";

}  // namespace qs
