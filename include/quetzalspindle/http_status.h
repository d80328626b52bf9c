#pragma once

namespace qs {

// The HTTP status codes that the program sends or handles individually.
inline constexpr int kHttpOk = 200;
inline constexpr int kHttpAccepted = 202;
inline constexpr int kHttpBadRequest = 400;
inline constexpr int kHttpNotFound = 404;
inline constexpr int kHttpConflict = 409;
inline constexpr int kHttpGone = 410;
inline constexpr int kHttpPreconditionFailed = 412;
inline constexpr int kHttpTooLarge = 413;
inline constexpr int kHttpMisdirected = 421;
inline constexpr int kHttpTooManyRequests = 429;
inline constexpr int kHttpInternalError = 500;
inline constexpr int kHttpUnavailable = 503;
inline constexpr int kHttpGatewayTimeout = 504;

}  // namespace qs
