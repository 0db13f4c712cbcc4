#ifndef SASSAFRASWICK_GATEWAY_ORDER_RECORDS_H_
#define SASSAFRASWICK_GATEWAY_ORDER_RECORDS_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "sassafraswick/core/log.h"
#include "sassafraswick/failover/order_record.h"
#include "sassafraswick/gateway/gateway_platform.h"
#include "sassafraswick/gateway/gateway_state.h"
#include "sassafraswick/gateway/registry.h"
#include "sassafraswick/gateway/store_call_recorder.h"
#include "sassafraswick/net/async_event.h"
#include "sassafraswick/net/spawn.h"

/// @file
/// Keeps the orders of the holder of the failover lease in the shared store.
/// Each is written before it is sent, under the condition that the lease has
/// not been claimed again, so that a holder that reads all records after its
/// claim knows every order of earlier holders.

namespace sassafraswick {

/// Interval at which the write of a record is tried again over another
/// connection: a response may be lost, and with it all later ones on its
/// connection.
inline constexpr duration kOrderRecordRetryInterval =
    std::chrono::milliseconds(250);
/// Longest time for which an order waits for its record. Less than the time
/// after which it would be requested again.
inline constexpr duration kOrderRecordTimeout = std::chrono::milliseconds(2000);
/// Longest time since the grant of a lease for which a record is written with
/// it.
inline constexpr duration kMaxOrderLeaseAge = std::chrono::milliseconds(1000);
/// Time after which the store removes a record. Covers `kMaxOrderLeaseAge` and
/// the time from the write until the order is sent.
inline constexpr duration kOrderRecordTtl =
    replacement_settings().order_lifetime + std::chrono::seconds(2);
/// Interval at which a record is looked for that must not stay.
inline constexpr duration kOrderDiscardInterval =
    std::chrono::milliseconds(1000);

/// The record of an order as read from the store.
struct stored_order {
  order_record record;
  store_revision revision;
};

template <gateway_platform Platform>
class order_records {
 public:
  using codec = typename Platform::codec;
  using store_type = typename Platform::store;
  using order_map = std::map<std::string, stored_order>;

  order_records(const Platform& platform, gateway_state<codec>& gateway,
                store_call_recorder& calls, store_era_observer observe_era)
      : platform_(platform),
        gateway_(gateway),
        calls_(calls),
        observe_era_(std::move(observe_era)) {}

  /// Asks for the lease of the next record, unless there is one.
  void PrepareLease() {
    if (!FindLease().has_value()) {
      Spawn(gateway_.context, "order_lease",
            [this]() -> boost::asio::awaitable<void> {
              const std::shared_ptr<store_type> store = MakeStore();
              co_await TakeLease(*store);
            });
    }
  }

  /// Writes the record of an order that has not been sent yet.
  /// @param claim Revision of this host's claim of the failover lease.
  /// @param may_send Asked before each attempt. Once false, the order is given
  /// up.
  /// @return Revision of the record. Unknown if the order must not be sent.
  boost::asio::awaitable<store_revision> Write(std::string pool,
                                               promotion_order order,
                                               store_revision claim,
                                               std::function<bool()> may_send) {
    const std::shared_ptr<record_write> write =
        std::make_shared<record_write>(gateway_.context.get_executor());
    write->pool = pool;
    write->value = FormatOrderRecord(order);
    write->claim = claim;
    last_writes_[pool] = write;
    const time_point until = monotonic_clock::now() + kOrderRecordTimeout;
    while (!IsKnown(write->revision) && monotonic_clock::now() < until &&
           may_send()) {
      Spawn(gateway_.context, "order_record",
            [this, write] { return Attempt(write); });
      co_await write->ended.Wait(kOrderRecordRetryInterval);
    }
    write->has_ended = true;
    if (!IsKnown(write->revision)) {
      // A later order must not be recorded with a lease whose record is
      // discarded.
      lease_.reset();
      Log(log_level::kWarning, "order_not_recorded",
          {{"pool", pool}, {"reason", write->failure}});
      // An earlier request of the same promotion may still take effect.
      if (order.requests == 1) {
        Spawn(gateway_.context, "discard_order",
              [this, write] { return Discard(write); });
      }
    }
    co_return write->revision;
  }

  /// Removes a record, unless the key has been written again.
  /// @param revision Of the write.
  boost::asio::awaitable<void> Erase(std::string pool,
                                     store_revision revision) {
    const time_point until = monotonic_clock::now() + kOrderRecordTtl;
    bool is_answered = false;
    while (!is_answered && monotonic_clock::now() < until) {
      const std::shared_ptr<store_type> store = MakeStore();
      is_answered = co_await Remove(*store, pool, revision);
      if (!is_answered) {
        co_await Sleep(kOrderDiscardInterval);
      }
    }
  }

  /// Reads the orders of earlier holders by pool.
  /// @return Nothing if the store did not answer.
  boost::asio::awaitable<std::optional<order_map>> Read() {
    const std::shared_ptr<store_type> store = MakeStore();
    const std::string prefix(kOrdersPrefix);
    const result<store_page> page =
        co_await store->Range(prefix, read_freshness::kLatest);
    calls_.RecordCall("read_orders", page);
    if (!page) {
      co_return std::nullopt;
    }
    order_map records;
    revisions_.clear();
    for (const store_item& item : page.value().items) {
      const std::string pool = item.key.substr(kOrdersPrefix.size());
      const std::optional<order_record> record = ParseOrderRecord(item.value);
      revisions_[pool] = item.revision.number;
      if (record.has_value()) {
        records[pool] = {*record, item.revision};
      } else {
        Log(log_level::kError, "order_record_unreadable", {{"key", item.key}});
      }
    }
    co_return records;
  }

 private:
  /// The write of one record, by one or more attempts.
  struct record_write {
    explicit record_write(boost::asio::any_io_executor executor)
        : ended(std::move(executor)) {}

    std::string pool;
    std::string value;
    store_revision claim;
    /// Of the record, once an attempt succeeded.
    store_revision revision;
    /// Leases with which it was written, perhaps without a response.
    std::set<std::uint64_t> leases;
    std::string failure = "no response";
    /// No further attempt is useful.
    bool has_ended = false;
    async_event ended;
  };
  struct order_lease {
    store_lease lease;
    time_point requested_at;
  };

  /// Writes a record once. The condition on the record itself keeps an attempt
  /// that is carried out late from replacing a later record.
  boost::asio::awaitable<void> Attempt(std::shared_ptr<record_write> write) {
    const std::shared_ptr<store_type> store = MakeStore();
    const store_lease lease = co_await TakeLease(*store);
    if (lease.era != write->claim.era) {
      lease_.reset();
    }
    bool is_due = lease.id != 0 && lease.era == write->claim.era;
    while (is_due && !write->has_ended) {
      const std::int64_t expected = revisions_[write->pool];
      write->leases.insert(lease.id);
      const store_change record = MakeRecord(*write, lease, expected);
      const result<store_commit> written = co_await store->Commit(record);
      calls_.RecordCall("record_order", written);
      if (!written) {
        write->failure = written.error().message;
        if (written.error().kind == error_kind::kNotFound) {
          lease_.reset();
        }
        co_return;
      }
      if (written.value().applied) {
        Succeed(*write, written.value().revision);
        co_return;
      }
      is_due = co_await IsOutdated(*store, *write, expected);
    }
  }

  static store_change MakeRecord(const record_write& write,
                                 const store_lease& lease,
                                 std::int64_t expected) {
    store_change record;
    record.key = KeyOf(write.pool);
    record.value = write.value;
    record.lease = lease.id;
    record.conditions.push_back({record.key, expected});
    record.conditions.push_back(
        {std::string(kFailoverKey), write.claim.number});
    return record;
  }

  /// Reads a record whose write did not apply. An earlier attempt may have been
  /// carried out without a response.
  /// @return Whether its revision wasn't the expected one.
  boost::asio::awaitable<bool> IsOutdated(store_type& store,
                                          record_write& write,
                                          std::int64_t expected) {
    const result<std::optional<store_item>> found =
        co_await ReadRecord(store, write.pool);
    if (!found || write.has_ended) {
      co_return false;
    }
    const std::optional<store_item>& item = found.value();
    if (item.has_value() && item->value == write.value &&
        write.leases.contains(item->lease)) {
      Succeed(write, item->revision);
      co_return false;
    }
    const std::int64_t current = item.has_value() ? item->revision.number : 0;
    revisions_[write.pool] = current;
    if (current == expected) {
      write.failure = "the failover lease was claimed again";
    }
    co_return current != expected;
  }

  void Succeed(record_write& write, const store_revision& revision) {
    if (write.has_ended || revision.era != write.claim.era) {
      return;
    }
    write.revision = revision;
    write.has_ended = true;
    revisions_[write.pool] = revision.number;
    write.ended.NotifyAll();
  }

  /// Removes the record of an order that was not sent, also if it is written
  /// late.
  boost::asio::awaitable<void> Discard(std::shared_ptr<record_write> write) {
    const time_point until = monotonic_clock::now() + kOrderRecordTtl;
    while (!write->leases.empty() && monotonic_clock::now() < until) {
      co_await Sleep(kOrderDiscardInterval);
      const std::shared_ptr<store_type> store = MakeStore();
      const result<std::optional<store_item>> found =
          co_await ReadRecord(*store, write->pool);
      if (last_writes_[write->pool] != write) {
        co_return;
      }
      const bool is_own = found && found.value().has_value() &&
                          found.value()->revision.era == write->claim.era &&
                          write->leases.contains(found.value()->lease);
      if (is_own) {
        const store_revision revision = found.value()->revision;
        co_await Remove(*store, write->pool, revision);
      }
    }
  }

  /// @return Whether the store answered.
  boost::asio::awaitable<bool> Remove(store_type& store, std::string pool,
                                      store_revision revision) {
    store_change removal;
    removal.key = KeyOf(pool);
    removal.remove = true;
    removal.conditions.push_back({removal.key, revision.number});
    const result<store_commit> removed = co_await store.Commit(removal);
    calls_.RecordCall("erase_order", removed);
    const auto known = revisions_.find(pool);
    if (removed && removed.value().applied && known != revisions_.end() &&
        known->second == revision.number) {
      revisions_.erase(known);
    }
    co_return removed.has_value();
  }

  boost::asio::awaitable<result<std::optional<store_item>>> ReadRecord(
      store_type& store, std::string pool) {
    const std::string key = KeyOf(pool);
    const result<store_page> page =
        co_await store.Range(key, read_freshness::kLatest);
    calls_.RecordCall("read_order", page);
    if (!page) {
      co_return page.error();
    }
    std::optional<store_item> found;
    for (const store_item& item : page.value().items) {
      if (item.key == key) {
        found = item;
      }
    }
    co_return found;
  }

  /// Returns the lease that was granted last, if it is young enough.
  [[nodiscard]] std::optional<store_lease> FindLease() const {
    const bool is_usable =
        lease_.has_value() &&
        monotonic_clock::now() - lease_->requested_at <= kMaxOrderLeaseAge;
    return is_usable ? std::optional<store_lease>(lease_->lease) : std::nullopt;
  }

  /// Returns a lease for a record; without identifier if none is granted.
  boost::asio::awaitable<store_lease> TakeLease(store_type& store) {
    const std::optional<store_lease> prepared = FindLease();
    if (prepared.has_value()) {
      co_return *prepared;
    }
    const time_point requested_at = monotonic_clock::now();
    const result<store_lease> granted =
        co_await store.GrantLease(kOrderRecordTtl);
    calls_.RecordCall("grant_order_lease", granted);
    if (!granted) {
      co_return store_lease();
    }
    lease_ = order_lease{granted.value(), requested_at};
    co_return granted.value();
  }

  [[nodiscard]] std::shared_ptr<store_type> MakeStore() const {
    return platform_.MakeStore(gateway_.context.get_executor(), observe_era_);
  }

  static std::string KeyOf(const std::string& pool) {
    return std::string(kOrdersPrefix) + pool;
  }

  Platform platform_;
  gateway_state<codec>& gateway_;
  store_call_recorder& calls_;
  store_era_observer observe_era_;
  /// The lease that was granted last.
  std::optional<order_lease> lease_;
  /// Last known revision of each record; absent if there is none.
  std::map<std::string, std::int64_t> revisions_;
  std::map<std::string, std::shared_ptr<record_write>> last_writes_;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_ORDER_RECORDS_H_
