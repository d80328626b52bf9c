#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>

#include "quetzalspindle/result.h"
#include "wire/messages.h"

namespace qs {

// A frame is a four-byte little-endian length, followed by a body of that many
// bytes: a FlatBuffers `Frame`.
inline constexpr size_t kFrameHeaderBytes = 4;
inline constexpr uint32_t kMaxFrameBytes = 64U << 20U;

// Returns the whole frame of a message, including its header.
std::string EncodeFrame(const Message& message);

// Returns the body length in a frame header. Fails if it is zero or exceeds
// kMaxFrameBytes.
Result<uint32_t> DecodeHeader(
    std::span<const uint8_t, kFrameHeaderBytes> bytes);

// Returns the message in a frame body. Fails with std::errc::bad_message on any
// byte string that is not a well-formed message with values in range.
Result<Message> DecodeBody(std::span<const uint8_t> body);

}  // namespace qs
