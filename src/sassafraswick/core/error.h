#ifndef SASSAFRASWICK_CORE_ERROR_H_
#define SASSAFRASWICK_CORE_ERROR_H_

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>
#include <cstdint>
#include <string>
#include <utility>

/// @file
/// Error handling by return values.

namespace sassafraswick {

/// Categories of errors that callers handle differently.
enum class error_kind : std::uint8_t {
  kInvalidSetting,
  kInvalidTable,
  kInvalidToken,
  kProtocol,
  kUnavailable,
  kConflict,
  kNotFound,
  kTimeout,
  /// The peer refused, reset or closed a connection.
  kClosed,
  kIo,
};

/// An error with a message that describes what failed and where.
struct error {
  error_kind kind;
  std::string message;
};

/// A value or an error. Accessing the one that is absent terminates the
/// process.
template <typename T>
using result =
    boost::outcome_v2::basic_result<T, error,
                                    boost::outcome_v2::policy::terminate>;

/// Creates an error, which converts to any `result`.
/// @param message Describes what failed and where.
[[nodiscard]] inline error MakeError(error_kind kind, std::string message) {
  return error{kind, std::move(message)};
}

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_CORE_ERROR_H_
