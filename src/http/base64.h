#pragma once

#include <string>

#include "quetzalspindle/result.h"

namespace qs {

// Converts arbitrary bytes, which need not be UTF-8, to and from base64 (RFC
// 4648, with padding).
std::string EncodeBase64(const std::string& bytes);
Result<std::string> DecodeBase64(const std::string& text);

}  // namespace qs
