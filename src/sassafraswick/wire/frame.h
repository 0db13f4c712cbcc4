#ifndef SASSAFRASWICK_WIRE_FRAME_H_
#define SASSAFRASWICK_WIRE_FRAME_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "sassafraswick/core/error.h"

/// @file
/// Framing of the PostgreSQL frontend/backend protocol, version 3.

namespace sassafraswick {

/// Size of a frame's type and length fields.
inline constexpr std::size_t kFrameHeaderBytes = 5;

/// Message types sent by callers.
namespace frontend {
inline constexpr char kBind = 'B';
inline constexpr char kClose = 'C';
inline constexpr char kDescribe = 'D';
inline constexpr char kExecute = 'E';
inline constexpr char kFlush = 'H';
inline constexpr char kFunctionCall = 'F';
inline constexpr char kParse = 'P';
inline constexpr char kPassword = 'p';
inline constexpr char kQuery = 'Q';
inline constexpr char kSync = 'S';
inline constexpr char kTerminate = 'X';
}  // namespace frontend

/// Message types sent by targets.
namespace backend {
inline constexpr char kAuthentication = 'R';
inline constexpr char kBackendKeyData = 'K';
inline constexpr char kCloseComplete = '3';
inline constexpr char kCommandComplete = 'C';
inline constexpr char kCopyData = 'd';
inline constexpr char kCopyInResponse = 'G';
inline constexpr char kDataRow = 'D';
inline constexpr char kErrorResponse = 'E';
inline constexpr char kNoticeResponse = 'N';
inline constexpr char kParameterStatus = 'S';
inline constexpr char kParseComplete = '1';
inline constexpr char kReadyForQuery = 'Z';
inline constexpr char kRowDescription = 'T';
}  // namespace backend

/// Transaction status in a ReadyForQuery message.
enum class transaction_status : char {
  kIdle = 'I',
  kInTransaction = 'T',
  kFailed = 'E',
};

/// Type and size of a frame, whose body may not have been received yet.
struct frame_header {
  char type = 0;
  /// Size of the frame in bytes, including the header.
  std::size_t size = 0;
};

/// Non-owning view of a whole frame.
struct frame_view {
  char type = 0;
  std::string_view body;
};

/// Buffer of received bytes that are not yet consumed.
class frame_buffer {
 public:
  /// The bytes not yet consumed.
  [[nodiscard]] std::string_view Data() const noexcept {
    return std::string_view(bytes_).substr(begin_);
  }

  /// Provides space for more input.
  /// @param size Size of the space in bytes.
  /// @return Writable space; pass the number of bytes written to `Commit`.
  [[nodiscard]] std::span<char> Prepare(std::size_t size);

  /// Appends the first `size` bytes of the last prepared space to the data.
  void Commit(std::size_t size) noexcept;

  /// Removes bytes from the front.
  /// @pre `size <= Data().size()`.
  void Consume(std::size_t size) noexcept;

  /// Returns the memory of the buffer, in bytes.
  [[nodiscard]] std::size_t Capacity() const noexcept {
    return bytes_.capacity();
  }

  /// Frees the memory of the buffer if it is empty.
  void ShrinkIfEmpty();

  /// Parses the header of the first frame.
  /// @return No value while the header is incomplete; an error for a length
  /// below the protocol's minimum.
  [[nodiscard]] result<std::optional<frame_header>> Header() const;

  /// Returns the first frame without consuming it.
  /// @param header What `Header` returned.
  /// @return No value while the frame is incomplete.
  [[nodiscard]] std::optional<frame_view> Frame(
      const frame_header& header) const noexcept;

 private:
  std::string bytes_;
  std::size_t begin_ = 0;
  std::size_t prepared_ = 0;
};

/// Reads the fields of a message body in order. A read past the end sets the
/// failure flag.
class body_reader {
 public:
  explicit body_reader(std::string_view body) noexcept : rest_(body) {}

  /// Reads a zero-terminated string.
  [[nodiscard]] std::string_view String() noexcept;
  [[nodiscard]] std::uint16_t Int16() noexcept;
  [[nodiscard]] std::uint32_t Int32() noexcept;
  /// Reads a fixed number of bytes.
  [[nodiscard]] std::string_view Bytes(std::size_t count) noexcept;
  [[nodiscard]] bool Failed() const noexcept { return failed_; }
  [[nodiscard]] std::string_view Rest() const noexcept { return rest_; }

 private:
  std::string_view rest_;
  bool failed_ = false;
};

/// Appends one frame to a byte string; the destructor sets its length field.
class frame_writer {
 public:
  /// Starts a frame. A type of zero omits the type byte, as in startup
  /// messages.
  frame_writer(std::string& out, char type);
  ~frame_writer();
  frame_writer(const frame_writer&) = delete;
  frame_writer& operator=(const frame_writer&) = delete;

  frame_writer& Byte(char value);
  frame_writer& Int16(std::uint16_t value);
  frame_writer& Int32(std::uint32_t value);
  frame_writer& String(std::string_view value);
  frame_writer& Bytes(std::string_view value);

 private:
  std::string* out_;
  std::size_t length_at_;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_WIRE_FRAME_H_
