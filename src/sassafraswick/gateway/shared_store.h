#ifndef SASSAFRASWICK_GATEWAY_SHARED_STORE_H_
#define SASSAFRASWICK_GATEWAY_SHARED_STORE_H_

#include <boost/asio/awaitable.hpp>
#include <concepts>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "sassafraswick/core/error.h"
#include "sassafraswick/core/time.h"
#include "sassafraswick/fleet/store_era.h"

/// @file
/// Interface to the shared key-value store: prefix reads, leases and watches.

namespace sassafraswick {

/// How recent the result of a read has to be.
enum class read_freshness {
  kLatest,
  /// May lack the changes of the last seconds; costs a tenth of `kLatest`.
  kMaybeStale,
};

/// A key with its value as read, or a change of the key.
struct store_item {
  std::string key;
  std::string value;
  store_revision revision;
  std::uint64_t lease = 0;
  bool deleted = false;
};

/// Result of a read or a watch, and the store revision that it reflects.
struct store_page {
  std::vector<store_item> items;
  store_revision revision;
};

struct store_entry {
  std::string key;
  std::string value;
};

/// A key is at a revision.
struct store_condition {
  std::string key;
  /// Number of a revision of the current era; zero means that the key must not
  /// exist.
  std::int64_t revision = 0;
};

/// A write or removal of one key, optionally conditional on the revisions of
/// that or other keys.
struct store_change {
  std::string key;
  /// Value to write. If `lease` is zero, the key does not expire.
  std::string value;
  std::uint64_t lease = 0;
  bool remove = false;
  /// The change is applied only if all of them hold.
  std::vector<store_condition> conditions;
  /// Further keys that are written with the same lease, or removed, in the same
  /// transaction.
  std::vector<store_entry> companions;
};

struct store_commit {
  bool applied = false;
  store_revision revision;
};

struct store_lease {
  /// Unique within an era.
  std::uint64_t id = 0;
  store_era era = 0;
  duration ttl = duration::zero();
};

/// Receives the era of every response of the store, before the response.
using store_era_observer = std::function<void(store_era era)>;

/// Client of the shared store. Errors: `kUnavailable` if no response arrived
/// (the change may still have been applied), `kNotFound` if a lease or the
/// history that a watch needs no longer exists, `kProtocol` if the response
/// cannot be parsed.
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
  /// Ends the call in flight, which then fails.
  { store.Abort() } -> std::same_as<void>;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_SHARED_STORE_H_
