#pragma once

#include <cstddef>
#include <string_view>

namespace qs {

// Largest number of values in one JSON text of a client. A decoded value takes
// up to 160 bytes, where its text may take two.
inline constexpr size_t kMaxJsonValues = 32'768;

// Whether `text` holds more than `max` JSON values. Judges by its brackets and
// commas, without decoding it, so a text that is not JSON has an answer, too.
// An empty array or object counts as two.
bool HasMoreJsonValues(std::string_view text, size_t max);

}  // namespace qs
