#include "sassafraswick/consistency/token.h"

#include <sodium.h>

#include <charconv>
#include <vector>

namespace sassafraswick {
namespace {

constexpr std::size_t kSignatureBytes = 16;
constexpr std::size_t kMaxTokenBytes = 512;

using signature = std::array<unsigned char, kSignatureBytes>;

const unsigned char* AsUnsigned(std::string_view bytes) noexcept {
  return reinterpret_cast<const unsigned char*>(bytes.data());
}

/// Concatenates the signed fields, each prefixed with its length so that
/// different fields never yield the same bytes.
std::string SignedPayload(const token_scope& scope, std::string_view point) {
  std::string bytes;
  for (const std::string_view field : {scope.organisation, scope.pool, point}) {
    bytes += std::to_string(field.size());
    bytes += ':';
    bytes += field;
  }
  return bytes;
}

template <std::size_t Size>
signature Sign(const std::array<unsigned char, Size>& key,
               const std::string& bytes) {
  signature mac{};
  crypto_generichash(mac.data(), mac.size(), AsUnsigned(bytes), bytes.size(),
                     key.data(), key.size());
  return mac;
}

std::string ToHex(const signature& bytes) {
  std::string text(bytes.size() * 2 + 1, '\0');
  sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
  text.pop_back();
  return text;
}

/// Parses a number and the separator after it, and removes both from `text`.
bool ConsumeNumber(std::string_view& text, char separator,
                   std::uint64_t& number) noexcept {
  const char* const end = text.data() + text.size();
  const std::from_chars_result parsed =
      std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr == end ||
      *parsed.ptr != separator) {
    return false;
  }
  text.remove_prefix(static_cast<std::size_t>(parsed.ptr - text.data()) + 1);
  return true;
}

}  // namespace

token_codec::token_codec(std::string_view secret) {
  crypto_generichash(key_.data(), key_.size(), AsUnsigned(secret),
                     secret.size(), nullptr, 0);
}

std::string token_codec::Encode(const token_scope& scope,
                                log_point point) const {
  const std::string numbers =
      std::to_string(point.term) + "." + std::to_string(point.position);
  const signature mac = Sign(key_, SignedPayload(scope, numbers));
  return std::string(kTokenPrefix) + numbers + "." + ToHex(mac);
}

result<log_point> token_codec::Decode(std::string_view text,
                                      const token_scope& scope) const {
  const error malformed =
      MakeError(error_kind::kInvalidToken, "consistency token is malformed");
  if (text.size() > kMaxTokenBytes || !text.starts_with(kTokenPrefix)) {
    return malformed;
  }
  text.remove_prefix(kTokenPrefix.size());
  std::string_view rest = text;
  log_point point;
  if (!ConsumeNumber(rest, '.', point.term) ||
      !ConsumeNumber(rest, '.', point.position)) {
    return malformed;
  }
  const std::string_view numbers =
      text.substr(0, text.size() - rest.size() - 1);
  signature actual{};
  std::size_t size = 0;
  const char* end = nullptr;
  const int decoded = sodium_hex2bin(actual.data(), actual.size(), rest.data(),
                                     rest.size(), nullptr, &size, &end);
  if (decoded != 0 || size != actual.size() ||
      end != rest.data() + rest.size()) {
    return malformed;
  }
  const signature expected = Sign(key_, SignedPayload(scope, numbers));
  if (sodium_memcmp(actual.data(), expected.data(), expected.size()) != 0) {
    return MakeError(error_kind::kInvalidToken,
                     "consistency token is not valid for organisation '" +
                         std::string(scope.organisation) + "' and pool '" +
                         std::string(scope.pool) + "'");
  }
  return point;
}

}  // namespace sassafraswick
