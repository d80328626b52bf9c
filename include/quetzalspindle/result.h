#pragma once

#include <system_error>
#include <tl/expected.hpp>

#include "quetzalspindle/findings.h"

namespace qs {

// A value, or the error code of the failure that prevented it.
template <typename T>
using Result = tl::expected<T, std::error_code>;

// A value, or every fault found in the input from which it was to be parsed.
template <typename T>
using Checked = tl::expected<T, Findings>;

}  // namespace qs
