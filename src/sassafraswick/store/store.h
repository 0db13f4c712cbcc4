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
/// Interface of the platform's key-value store.

namespace sassafraswick {

/// A stored value and the revision of its last change.
struct stored_record {
  std::string value;
  std::int64_t revision = 0;
};

/// One change in a transaction. If the value is absent, the key is deleted.
struct record_write {
  std::string key;
  std::optional<std::string> value;
};

/// Changes that are applied atomically if one key is still at a revision.
struct conditional_write {
  std::string key;
  /// Revision that the key must have; zero if it must not exist.
  std::int64_t expected_revision = 0;
  std::vector<record_write> writes;
};

/// A key-value store with compare-and-swap and watches.
///
/// Errors are `kUnavailable` if no response was received, in which case a write
/// may or may not have been applied, and `kProtocol` if the response is
/// malformed.
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
