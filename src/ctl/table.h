#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace qs {

// Rows as text, with the named columns aligned and a heading.
std::string FormatTable(const nlohmann::json& rows,
                        const std::vector<std::string>& columns);

}  // namespace qs
