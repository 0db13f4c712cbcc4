#ifndef SASSAFRASWICK_CORE_ERROR_H_
#define SASSAFRASWICK_CORE_ERROR_H_

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>
#include <cstdint>
#include <string>
#include <utility>

/// @file
/// Errors as values.

namespace sassafraswick {

/// What went wrong, coarse enough to decide on.
enum class error_kind : std::uint8_t {
  kInvalidSetting,
  kInvalidTable,
  kInvalidToken,
  kProtocol,
  kUnavailable,
  kConflict,
  kNotFound,
  kTimeout,
  /// The other side refused, reset or ended a connection.
  kClosed,
  kIo,
};

/// An error with a message that names what failed and where.
struct error {
  error_kind kind;
  std::string message;
};

/// A value or an error. Reading the wrong side stops the process.
template <typename T>
using result =
    boost::outcome_v2::basic_result<T, error,
                                    boost::outcome_v2::policy::terminate>;

/// Builds a failed result.
/// @param kind What went wrong.
/// @param message What failed and where.
/// @return An error that converts to any `result`.
[[nodiscard]] inline error MakeError(error_kind kind, std::string message) {
  return error{kind, std::move(message)};
}

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_CORE_ERROR_H_
