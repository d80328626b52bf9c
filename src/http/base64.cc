#include "http/base64.h"

#include <openssl/evp.h>

#include <system_error>

namespace qs {

std::string EncodeBase64(const std::string& bytes) {
  std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
  const int size =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  text.resize(static_cast<size_t>(size));
  return text;
}

Result<std::string> DecodeBase64(const std::string& text) {
  const auto invalid =
      tl::unexpected(std::make_error_code(std::errc::illegal_byte_sequence));
  if (text.size() % 4 != 0) return invalid;
  if (text.find_first_of(" \r\n\t") != std::string::npos) return invalid;
  std::string bytes(text.size() / 4 * 3, '\0');
  const int size =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  if (size < 0) return invalid;
  const bool one = text.ends_with("=");
  const bool two = text.ends_with("==");
  bytes.resize(static_cast<size_t>(size) - (two ? 2 : one ? 1 : 0));
  return bytes;
}

}  // namespace qs
