#pragma once

#include <system_error>
#include <tl/expected.hpp>

#include "quetzalspindle/findings.h"

namespace qs {

// A value, or the error code of the one thing that went wrong.
template <typename T>
using Result = tl::expected<T, std::error_code>;

// A value, or every fault found in the input that it was to be made from.
template <typename T>
using Checked = tl::expected<T, Findings>;

}  // namespace qs
