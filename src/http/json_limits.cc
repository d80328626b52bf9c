#include "http/json_limits.h"

namespace qs {
namespace {

// The position of the quote that ends the string which begins at `begin`, or
// that of the last character.
size_t EndOfString(std::string_view text, size_t begin) {
  for (size_t end = text.find('"', begin + 1); end != std::string_view::npos;
       end = text.find('"', end + 1)) {
    size_t escapes = 0;
    while (text[end - escapes - 1] == '\\') ++escapes;
    if (escapes % 2 == 0) return end;
  }
  return text.size() - 1;
}

}  // namespace

// Each value but the outermost follows a comma or begins an array or object.
bool HasMoreJsonValues(std::string_view text, size_t max) {
  size_t values = 1;
  for (size_t i = 0; i < text.size(); ++i) {
    switch (text[i]) {
      case '"':
        i = EndOfString(text, i);
        break;
      case ',':
      case '[':
      case '{':
        if (++values > max) return true;
        break;
      default:
        break;
    }
  }
  return false;
}

}  // namespace qs
