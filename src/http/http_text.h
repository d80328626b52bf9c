#pragma once

#include <map>
#include <string>
#include <string_view>

#include "quetzalspindle/http_message.h"

namespace qs {

// Returns the decoded parameters of a query string. Drops all after the
// sixteenth.
std::map<std::string, std::string> ParseQuery(std::string_view text);

std::string LowerCase(std::string_view text);

// Formats an HTTP/1.1 response as it is sent. `reason` is the reason phrase of
// its status.
std::string FormatResponse(const HttpResponse& response,
                           std::string_view reason, bool close);

}  // namespace qs
