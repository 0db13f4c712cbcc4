#ifndef SASSAFRASWICK_STORE_STORE_H_
#define SASSAFRASWICK_STORE_STORE_H_

#include <boost/asio/awaitable.hpp>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "sassafraswick/core/error.h"
#include "sassafraswick/core/time.h"

/// @file
/// What is asked of the platform's key-value service.

namespace sassafraswick {

/// A stored value and the revision of its last change.
struct stored_record {
  std::string value;
  std::int64_t revision = 0;
};

/// One change of a transaction. Without a value the key is deleted.
struct record_write {
  std::string key;
  std::optional<std::string> value;
};

/// A change that applies only if one key is still at a revision.
struct conditional_write {
  std::string key;
  /// Revision the key must have; zero means that it must not exist.
  std::int64_t expected_revision = 0;
  std::vector<record_write> writes;
};

/// A key-value service with compare-and-swap and watches.
///
/// Errors are `kUnavailable` when no answer came, in which case a write may or
/// may not have taken effect, and `kProtocol` when the answer is not
/// understood.
template <typename Store>
concept platform_store = requires(Store store, std::string key,
                                  conditional_write write,
                                  std::int64_t revision, duration timeout) {
  {
    store.Get(key)
    } -> std::same_as<
        boost::asio::awaitable<result<std::optional<stored_record>>>>;
  { store.Write(write) } -> std::same_as<boost::asio::awaitable<result<bool>>>;
  {
    store.Watch(key, revision, timeout)
    } -> std::same_as<
        boost::asio::awaitable<result<std::optional<stored_record>>>>;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_STORE_STORE_H_
