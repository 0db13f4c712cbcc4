#include "sassafraswick/wire/frame.h"

#include <algorithm>
#include <cassert>

namespace sassafraswick {
namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr unsigned kBitsPerByte = 8;

std::uint32_t ReadBigEndian(std::string_view bytes) noexcept {
  std::uint32_t value = 0;
  for (const char byte : bytes) {
    value = (value << kBitsPerByte) | static_cast<unsigned char>(byte);
  }
  return value;
}

void WriteBigEndian(std::uint32_t value, char* out, std::size_t size) {
  for (std::size_t i = 0; i < size; ++i) {
    out[size - 1 - i] = static_cast<char>(value >> (kBitsPerByte * i));
  }
}

}  // namespace

std::span<char> frame_buffer::Prepare(std::size_t size) {
  if (begin_ > 0) {
    bytes_.erase(0, begin_);
    begin_ = 0;
  }
  prepared_ = bytes_.size();
  bytes_.resize(prepared_ + size);
  return {bytes_.data() + prepared_, size};
}

void frame_buffer::Commit(std::size_t size) noexcept {
  bytes_.resize(prepared_ + size);
}

void frame_buffer::Consume(std::size_t size) noexcept {
  assert(size <= Data().size());
  begin_ += size;
}

void frame_buffer::ShrinkIfEmpty() {
  if (Data().empty()) {
    bytes_.clear();
    bytes_.shrink_to_fit();
    begin_ = 0;
  }
}

result<std::optional<frame_header>> frame_buffer::Header() const {
  const std::string_view data = Data();
  if (data.size() < kFrameHeaderBytes) {
    return std::optional<frame_header>();
  }
  const std::uint32_t length = ReadBigEndian(data.substr(1, kLengthBytes));
  if (length < kLengthBytes) {
    return MakeError(error_kind::kProtocol, "frame length " +
                                                std::to_string(length) +
                                                " is below the minimum of 4");
  }
  return std::optional<frame_header>(
      frame_header{data.front(), std::size_t{length} + 1});
}

std::optional<frame_view> frame_buffer::Frame(
    const frame_header& header) const noexcept {
  const std::string_view data = Data();
  if (data.size() < header.size) {
    return std::nullopt;
  }
  return frame_view{header.type, data.substr(kFrameHeaderBytes,
                                             header.size - kFrameHeaderBytes)};
}

std::string_view body_reader::String() noexcept {
  const std::size_t end = rest_.find('\0');
  if (end == std::string_view::npos) {
    failed_ = true;
    return {};
  }
  const std::string_view value = rest_.substr(0, end);
  rest_.remove_prefix(end + 1);
  return value;
}

std::uint16_t body_reader::Int16() noexcept {
  return static_cast<std::uint16_t>(ReadBigEndian(Bytes(2)));
}

std::uint32_t body_reader::Int32() noexcept {
  return ReadBigEndian(Bytes(kLengthBytes));
}

std::string_view body_reader::Bytes(std::size_t count) noexcept {
  if (count > rest_.size()) {
    failed_ = true;
    return {};
  }
  const std::string_view value = rest_.substr(0, count);
  rest_.remove_prefix(count);
  return value;
}

frame_writer::frame_writer(std::string& out, char type) : out_(&out) {
  if (type != 0) {
    out.push_back(type);
  }
  length_at_ = out.size();
  out.append(kLengthBytes, '\0');
}

frame_writer::~frame_writer() {
  const std::size_t length = out_->size() - length_at_;
  WriteBigEndian(static_cast<std::uint32_t>(length), out_->data() + length_at_,
                 kLengthBytes);
}

frame_writer& frame_writer::Byte(char value) {
  out_->push_back(value);
  return *this;
}

frame_writer& frame_writer::Int16(std::uint16_t value) {
  std::array<char, 2> bytes{};
  WriteBigEndian(value, bytes.data(), bytes.size());
  out_->append(bytes.data(), bytes.size());
  return *this;
}

frame_writer& frame_writer::Int32(std::uint32_t value) {
  std::array<char, kLengthBytes> bytes{};
  WriteBigEndian(value, bytes.data(), bytes.size());
  out_->append(bytes.data(), bytes.size());
  return *this;
}

frame_writer& frame_writer::String(std::string_view value) {
  out_->append(value);
  out_->push_back('\0');
  return *this;
}

frame_writer& frame_writer::Bytes(std::string_view value) {
  out_->append(value);
  return *this;
}

}  // namespace sassafraswick
