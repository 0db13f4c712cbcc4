#include "sassafraswick/config/key.h"

#include <sodium.h>

#include <array>

namespace sassafraswick {
namespace {

constexpr std::size_t kIdBytes = 8;
constexpr std::size_t kSecretBytes = 32;
constexpr std::size_t kHashBytes = 32;
constexpr char kSeparator = '.';

template <std::size_t Size>
std::string ToHex(const std::array<unsigned char, Size>& bytes) {
  std::string text(Size * 2 + 1, '\0');
  sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
  text.pop_back();
  return text;
}

template <std::size_t Size>
std::string RandomHex() {
  std::array<unsigned char, Size> bytes{};
  randombytes_buf(bytes.data(), bytes.size());
  return ToHex(bytes);
}

std::string HashKey(std::string_view text) {
  std::array<unsigned char, kHashBytes> hash{};
  crypto_generichash(hash.data(), hash.size(),
                     reinterpret_cast<const unsigned char*>(text.data()),
                     text.size(), nullptr, 0);
  return ToHex(hash);
}

}  // namespace

issued_key IssueKey(const std::string& organisation) {
  issued_key issued;
  issued.record.id = RandomId();
  issued.record.organisation = organisation;
  issued.text = issued.record.id + kSeparator + RandomHex<kSecretBytes>();
  issued.record.hash = HashKey(issued.text);
  return issued;
}

std::string_view KeyId(std::string_view text) noexcept {
  return text.substr(0, text.find(kSeparator));
}

bool MatchesKey(std::string_view text, const key_record& record) {
  const std::string hash = HashKey(text);
  return hash.size() == record.hash.size() &&
         sodium_memcmp(hash.data(), record.hash.data(), hash.size()) == 0;
}

std::string RandomId() { return RandomHex<kIdBytes>(); }

}  // namespace sassafraswick
