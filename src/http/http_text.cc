#include "http/http_text.h"

#include <civetweb.h>

#include <algorithm>
#include <array>
#include <cctype>

namespace qs {

std::map<std::string, std::string> ParseQuery(std::string_view text) {
  std::map<std::string, std::string> query;
  std::string copy(text);
  constexpr unsigned kMaxParameters = 16;
  std::array<mg_header, kMaxParameters> fields{};
  const int count =
      mg_split_form_urlencoded(copy.data(), fields.data(), kMaxParameters);
  for (int i = 0; i < count; ++i) {
    const mg_header& field = fields[static_cast<size_t>(i)];
    query[field.name] = field.value == nullptr ? "" : field.value;
  }
  return query;
}

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  std::transform(
      lower.begin(), lower.end(), lower.begin(),
      [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return lower;
}

std::string FormatResponse(const HttpResponse& response,
                           std::string_view reason, bool close) {
  std::string text = "HTTP/1.1 " + std::to_string(response.status) + " ";
  text += reason;
  text += "\r\nContent-Type: " + response.content_type +
          "\r\nContent-Length: " + std::to_string(response.body.size()) +
          "\r\nConnection: " + (close ? "close" : "keep-alive") + "\r\n";
  for (const auto& [name, value] : response.headers) {
    text += name + ": " + value + "\r\n";
  }
  return text + "\r\n" + response.body;
}

}  // namespace qs
