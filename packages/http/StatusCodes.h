#pragma once

// HTTP status codes used by this code base, from RFC 9110 and RFC 6585.

namespace hemlockweir {

inline constexpr int statusSwitchingProtocols = 101;
inline constexpr int statusOk = 200;
inline constexpr int statusNoContent = 204;
inline constexpr int statusNotModified = 304;
inline constexpr int statusBadRequest = 400;
inline constexpr int statusUnauthorized = 401;
inline constexpr int statusNotFound = 404;
inline constexpr int statusRequestTimeout = 408;
inline constexpr int statusMisdirected = 421;
inline constexpr int statusTooMany = 429;
inline constexpr int statusInternalError = 500;
inline constexpr int statusBadGateway = 502;
inline constexpr int statusUnavailable = 503;
inline constexpr int statusGatewayTimeout = 504;

} // namespace hemlockweir
