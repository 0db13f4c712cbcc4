#ifndef SASSAFRASWICK_GATEWAY_ORDER_RECORDS_H_
#define SASSAFRASWICK_GATEWAY_ORDER_RECORDS_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "sassafraswick/core/log.h"
#include "sassafraswick/failover/order_record.h"
#include "sassafraswick/gateway/gateway_platform.h"
#include "sassafraswick/gateway/gateway_state.h"
#include "sassafraswick/gateway/registry.h"
#include "sassafraswick/gateway/store_call_recorder.h"
#include "sassafraswick/net/spawn.h"

/// @file
/// Keeps the orders of the holder of the failover lease in the shared store.
/// Each is written under the condition that the lease has not been claimed
/// again, so that a holder that reads all records after its claim knows every
/// order of earlier holders.

namespace sassafraswick {

/// Time for which an order waits for its record. In an outage of the store it
/// is sent without one: nobody can take the failover lease then.
inline constexpr duration kOrderRecordTimeout = std::chrono::milliseconds(250);
/// Time after which the store removes a record.
inline constexpr duration kOrderRecordTtl =
    replacement_settings().order_lifetime + std::chrono::seconds(1);

/// Outcome of the write of a record.
struct order_write {
  /// Of the record; unknown if the store did not answer in time.
  store_revision revision;
  /// Another host has claimed the failover lease since.
  bool is_superseded = false;
};

template <gateway_platform Platform>
class order_records {
 public:
  using codec = typename Platform::codec;
  using store_type = typename Platform::store;

  order_records(const Platform& platform, gateway_state<codec>& gateway,
                store_call_recorder& calls, store_era_observer observe_era)
      : platform_(platform),
        gateway_(gateway),
        calls_(calls),
        observe_era_(std::move(observe_era)) {}

  /// Writes the record of an order.
  /// @param claim Revision of this host's claim of the failover lease.
  boost::asio::awaitable<order_write> Write(std::string pool,
                                            promotion_order order,
                                            store_revision claim) {
    const std::shared_ptr<store_type> store = MakeStore();
    const std::shared_ptr<bool> timed_out = std::make_shared<bool>(false);
    Spawn(gateway_.context, "order_record",
          [store, timed_out]() -> boost::asio::awaitable<void> {
            co_await Sleep(kOrderRecordTimeout);
            *timed_out = true;
            store->Abort();
          });
    order_write outcome;
    const result<store_lease> lease =
        co_await store->GrantLease(kOrderRecordTtl);
    calls_.RecordCall("grant_order_lease", lease);
    if (!lease || *timed_out) {
      LogUnrecorded(pool, "no lease in time");
      co_return outcome;
    }
    store_change record;
    record.key = KeyOf(pool);
    record.value = FormatOrderRecord(order);
    record.lease = lease.value().id;
    record.conditional = true;
    record.condition_key = std::string(kFailoverKey);
    record.expected_revision = claim.number;
    const result<store_commit> written = co_await store->Commit(record);
    calls_.RecordCall("record_order", written);
    if (!written) {
      LogUnrecorded(pool, written.error().message);
    } else if (written.value().applied) {
      outcome.revision = written.value().revision;
    } else {
      outcome.is_superseded = true;
    }
    co_return outcome;
  }

  /// Writes the record of an order as soon as the store answers.
  /// @param is_needed Asked before each attempt.
  /// @return Revision of the record; unknown if it was not written.
  boost::asio::awaitable<store_revision> WriteLater(
      std::string pool, promotion_order order, store_revision claim,
      std::function<bool()> is_needed) {
    constexpr duration kRetryDelay = std::chrono::milliseconds(250);
    order_write written;
    while (!IsKnown(written.revision) && !written.is_superseded) {
      co_await Sleep(kRetryDelay);
      if (!is_needed()) {
        co_return store_revision();
      }
      written = co_await Write(pool, order, claim);
    }
    if (IsKnown(written.revision)) {
      Log(log_level::kInfo, "order_recorded_late", {{"pool", pool}});
    }
    co_return written.revision;
  }

  /// Removes a record, unless the key has been written again.
  /// @param revision Of the write.
  boost::asio::awaitable<void> Erase(std::string pool,
                                     store_revision revision) {
    const std::shared_ptr<store_type> store = MakeStore();
    store_change removal;
    removal.key = KeyOf(pool);
    removal.remove = true;
    removal.conditional = true;
    removal.expected_revision = revision.number;
    const result<store_commit> removed = co_await store->Commit(removal);
    calls_.RecordCall("erase_order", removed);
  }

  /// Reads the orders of earlier holders by pool.
  /// @return Nothing if the store did not answer.
  boost::asio::awaitable<std::optional<std::map<std::string, order_record>>>
  Read() {
    const std::shared_ptr<store_type> store = MakeStore();
    const std::string prefix(kOrdersPrefix);
    const result<store_page> page =
        co_await store->Range(prefix, read_freshness::kLatest);
    calls_.RecordCall("read_orders", page);
    if (!page) {
      co_return std::nullopt;
    }
    std::map<std::string, order_record> records;
    for (const store_item& item : page.value().items) {
      const std::optional<order_record> record = ParseOrderRecord(item.value);
      if (record.has_value()) {
        records[item.key.substr(kOrdersPrefix.size())] = *record;
      } else {
        Log(log_level::kError, "order_record_unreadable", {{"key", item.key}});
      }
    }
    co_return records;
  }

 private:
  [[nodiscard]] std::shared_ptr<store_type> MakeStore() const {
    return platform_.MakeStore(gateway_.context.get_executor(), observe_era_);
  }

  static std::string KeyOf(const std::string& pool) {
    return std::string(kOrdersPrefix) + pool;
  }

  static void LogUnrecorded(const std::string& pool,
                            const std::string& reason) {
    Log(log_level::kWarning, "order_not_recorded",
        {{"pool", pool}, {"reason", reason}});
  }

  Platform platform_;
  gateway_state<codec>& gateway_;
  store_call_recorder& calls_;
  store_era_observer observe_era_;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_ORDER_RECORDS_H_
