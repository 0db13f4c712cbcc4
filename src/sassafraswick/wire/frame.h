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

/// Bytes of a frame's type and length.
inline constexpr std::size_t kFrameHeaderBytes = 5;

/// Type bytes sent by callers.
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

/// Type bytes sent by targets.
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

/// Transaction state carried by ReadyForQuery.
enum class transaction_status : char {
  kIdle = 'I',
  kInTransaction = 'T',
  kFailed = 'E',
};

/// Type and size of a frame that may not have arrived whole.
struct frame_header {
  char type = 0;
  /// Bytes of the frame, header included.
  std::size_t size = 0;
};

/// A whole frame inside someone else's buffer.
struct frame_view {
  char type = 0;
  std::string_view body;
};

/// Bytes received and not yet consumed.
class frame_buffer {
 public:
  /// Bytes received and not yet consumed.
  [[nodiscard]] std::string_view Data() const noexcept {
    return std::string_view(bytes_).substr(begin_);
  }

  /// Makes room for more input and returns it.
  /// @param size Bytes wanted.
  /// @return Writable space; pass what was filled to `Commit`.
  [[nodiscard]] std::span<char> Prepare(std::size_t size);

  /// Keeps the first `size` bytes of the space last prepared.
  void Commit(std::size_t size) noexcept;

  /// Drops bytes from the front.
  /// @pre `size <= Data().size()`.
  void Consume(std::size_t size) noexcept;

  /// Gives memory back when nothing is held.
  void ShrinkIfEmpty();

  /// Reads the header at the front.
  /// @return Nothing while it is incomplete; an error for a length below the
  /// protocol's minimum.
  [[nodiscard]] result<std::optional<frame_header>> Header() const;

  /// Returns the whole frame at the front without consuming it.
  /// @param header What `Header` returned.
  /// @return Nothing while bytes are missing.
  [[nodiscard]] std::optional<frame_view> Frame(
      const frame_header& header) const noexcept;

 private:
  std::string bytes_;
  std::size_t begin_ = 0;
  std::size_t prepared_ = 0;
};

/// Reads a body field by field; any read past the end sets the failure flag.
class body_reader {
 public:
  explicit body_reader(std::string_view body) noexcept : rest_(body) {}

  /// Reads up to a zero byte.
  [[nodiscard]] std::string_view String() noexcept;
  [[nodiscard]] std::uint16_t Int16() noexcept;
  [[nodiscard]] std::uint32_t Int32() noexcept;
  /// Reads a fixed count of bytes.
  [[nodiscard]] std::string_view Bytes(std::size_t count) noexcept;
  [[nodiscard]] bool Failed() const noexcept { return failed_; }
  [[nodiscard]] std::string_view Rest() const noexcept { return rest_; }

 private:
  std::string_view rest_;
  bool failed_ = false;
};

/// Builds one frame at the end of a byte string.
class frame_writer {
 public:
  /// Starts a frame; a type of zero leaves the type byte out.
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
