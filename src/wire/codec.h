#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>

#include "quetzalspindle/result.h"
#include "wire/messages.h"

namespace qs {

// Every frame is a four-byte little-endian length and that many bytes of a
// FlatBuffers `Frame`.
inline constexpr size_t kFrameHeaderBytes = 4;
inline constexpr uint32_t kMaxFrameBytes = 64U << 20U;

// The whole frame of a message, header included.
std::string EncodeFrame(const Message& message);

// The length in a frame header; fails above kMaxFrameBytes and for zero.
Result<uint32_t> DecodeHeader(
    std::span<const uint8_t, kFrameHeaderBytes> bytes);

// The message in a frame body. Fails with std::errc::bad_message on any byte
// string that is not a well-formed message with values in range.
Result<Message> DecodeBody(std::span<const uint8_t> body);

}  // namespace qs
