#ifndef SASSAFRASWICK_GATEWAY_SHARED_STORE_H_
#define SASSAFRASWICK_GATEWAY_SHARED_STORE_H_

#include <boost/asio/awaitable.hpp>
#include <concepts>
#include <cstdint>
#include <string>
#include <vector>

#include "sassafraswick/core/error.h"
#include "sassafraswick/core/time.h"

/// @file
/// What a host asks of a key-value service with prefixes, leases and watches.

namespace sassafraswick {

/// How new a reading has to be.
enum class read_freshness {
  kLatest,
  /// May lack the last seconds; costs a tenth.
  kMaybeStale,
};

/// A key as it was read or as it changed.
struct store_item {
  std::string key;
  std::string value;
  std::int64_t revision = 0;
  std::uint64_t lease = 0;
  bool deleted = false;
};

/// Items and the store's revision at which they were seen.
struct store_page {
  std::vector<store_item> items;
  std::int64_t revision = 0;
};

/// A change of one key that applies only at an expected revision.
struct store_change {
  std::string key;
  /// Writes this value; empty `lease` keeps it for good.
  std::string value;
  std::uint64_t lease = 0;
  bool remove = false;
  /// Apply only if the key is at `expected_revision`; zero: does not exist.
  bool conditional = false;
  std::int64_t expected_revision = 0;
};

struct store_commit {
  bool applied = false;
  std::int64_t revision = 0;
};

struct store_lease {
  std::uint64_t id = 0;
  duration ttl = duration::zero();
};

/// Errors: `kUnavailable` if no answer came (a change may have been made),
/// `kNotFound` if a watch's history or a lease is gone, `kProtocol` if the
/// answer is not understood.
template <typename Store>
concept shared_store = requires(Store store, std::string prefix,
                                std::int64_t revision, duration span,
                                store_change change, std::uint64_t lease,
                                read_freshness freshness) {
  {
    store.Range(prefix, freshness)
    } -> std::same_as<boost::asio::awaitable<result<store_page>>>;
  {
    store.Watch(prefix, revision, span)
    } -> std::same_as<boost::asio::awaitable<result<store_page>>>;
  {
    store.Commit(change)
    } -> std::same_as<boost::asio::awaitable<result<store_commit>>>;
  {
    store.GrantLease(span)
    } -> std::same_as<boost::asio::awaitable<result<store_lease>>>;
  {
    store.KeepLease(lease)
    } -> std::same_as<boost::asio::awaitable<result<void>>>;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_SHARED_STORE_H_
