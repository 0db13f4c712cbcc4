#ifndef SASSAFRASWICK_GATEWAY_REGISTRATION_H_
#define SASSAFRASWICK_GATEWAY_REGISTRATION_H_

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <memory>
#include <random>
#include <string>
#include <utility>

#include "sassafraswick/core/log.h"
#include "sassafraswick/fleet/watch_schedule.h"
#include "sassafraswick/gateway/gateway_platform.h"
#include "sassafraswick/gateway/gateway_state.h"
#include "sassafraswick/gateway/registry.h"
#include "sassafraswick/gateway/shared_store.h"
#include "sassafraswick/gateway/store_call_recorder.h"
#include "sassafraswick/net/async_event.h"

/// @file
/// Maintains a host's own keys in the store: its entry in the host list, its
/// capacity, and the failover lease while the host holds it.

namespace sassafraswick {

/// Maximum retry delay of a host without the failover lease. The lease of its
/// own entry lasts long enough for it, and all hosts fail together while the
/// store is down.
inline constexpr duration kMaxRenewalRetryDelay =
    std::chrono::milliseconds(2000);
/// Longest time that a stopping host waits for its own calls to end. If the
/// store is down, the host's entry expires with its lease.
inline constexpr duration kLeaveTimeout = std::chrono::milliseconds(1000);

template <gateway_platform Platform>
class registration {
 public:
  using codec = typename Platform::codec;
  using store_type = typename Platform::store;

  /// @param capacity What the host registers about its capacity.
  /// @param identity Host name and boot id, as written into the failover lease.
  registration(const Platform& platform, gateway_state<codec>& gateway,
               host_registry& registry, const store_era_tracker& eras,
               store_call_recorder& calls, store_era_observer observe_era,
               std::string host, std::string identity, endpoint listen,
               host_capacity capacity)
      : platform_(platform),
        gateway_(gateway),
        registry_(registry),
        eras_(eras),
        calls_(calls),
        observe_era_(std::move(observe_era)),
        host_(std::move(host)),
        identity_(std::move(identity)),
        listen_(std::move(listen)),
        capacity_(std::move(capacity)) {}

  /// Renews the leases, keeps the host registered, and claims the failover
  /// lease when it is vacant.
  boost::asio::awaitable<void> Run() {
    const std::unique_ptr<store_type> store =
        platform_.MakeStore(gateway_.context.get_executor(), observe_era_);
    constexpr duration kCheckInterval = std::chrono::milliseconds(100);
    duration retry_delay = kInitialStoreRetryDelay;
    time_point retry_at;
    while (!leaving_) {
      co_await Sleep(kCheckInterval);
      const bool backing_off = leaving_ || monotonic_clock::now() < retry_at;
      if (backing_off) {
        continue;
      }
      call_in_flight_ = true;
      const bool succeeded = co_await RunDueCalls(*store);
      call_in_flight_ = false;
      const duration max_retry_delay =
          failover_lease_.id != 0 ? kMaxStoreRetryDelay : kMaxRenewalRetryDelay;
      retry_delay = succeeded ? kInitialStoreRetryDelay
                              : NextRetryDelay(retry_delay, max_retry_delay);
      retry_at =
          succeeded ? time_point() : monotonic_clock::now() + retry_delay;
    }
  }

  /// Removes the host's entry and releases the failover lease.
  boost::asio::awaitable<void> Leave() {
    leaving_ = true;
    // A registration still in flight could be applied after the removal and
    // leave a stale entry.
    constexpr duration kCallCheckInterval = std::chrono::milliseconds(10);
    const time_point deadline = monotonic_clock::now() + kLeaveTimeout;
    while (call_in_flight_ && monotonic_clock::now() < deadline) {
      co_await Sleep(kCallCheckInterval);
    }
    const std::unique_ptr<store_type> store =
        platform_.MakeStore(gateway_.context.get_executor(), observe_era_);
    if (IsRecordedHolder() && IsCurrent(failover_lease_) &&
        monotonic_clock::now() < failover_lease_.ValidUntil()) {
      co_await ReleaseFailover(*store);
    }
    store_change removal;
    removal.key = std::string(kHostsPrefix) + host_;
    removal.remove = true;
    removal.companions.push_back(CapacityEntry());
    const result<store_commit> removed = co_await store->Commit(removal);
    calls_.RecordCall("unregister", removed);
  }

  /// Returns whether this host holds the failover lease and may replace
  /// primaries.
  [[nodiscard]] bool HoldsFailover(time_point now) const {
    return !leaving_ && IsRecordedHolder() && IsCurrent(failover_lease_) &&
           now < failover_lease_.ValidUntil();
  }

  /// Returns for how much longer this host may act on the failover lease; zero
  /// if it does not hold it.
  [[nodiscard]] duration FailoverTimeLeft(time_point now) const {
    return HoldsFailover(now) ? failover_lease_.TimeLeft(now)
                              : duration::zero();
  }

 private:
  [[nodiscard]] bool IsRecordedHolder() const {
    return registry_.failover.holder == identity_ &&
           registry_.failover.lease == failover_lease_.id &&
           registry_.failover.fencing_token.era == failover_lease_.era;
  }

  /// Returns whether a lease is of the store's current era. One of an earlier
  /// era must not be renewed: its number may be another host's lease by now.
  [[nodiscard]] bool IsCurrent(const held_lease& lease) const {
    return lease.era == eras_.Current();
  }

  /// Gives up leases of earlier eras. The host registers again after a random
  /// delay, so that the hosts of a fleet do not write all at once.
  void DropEarlierLeases() {
    if (failover_lease_.id != 0 && !IsCurrent(failover_lease_)) {
      Log(log_level::kWarning, "failover_lease_dropped",
          {{"era", std::to_string(eras_.Current())}});
      failover_lease_ = held_lease();
    }
    if (lease_.id != 0 && !IsCurrent(lease_)) {
      lease_ = held_lease();
      const duration spread = ReregistrationSpread(registry_.names.size());
      register_at_ = monotonic_clock::now() +
                     duration(std::uniform_int_distribution<duration::rep>(
                         0, spread.count())(random_));
    }
  }

  static bool IsDue(const held_lease& lease) {
    return monotonic_clock::now() - lease.renewed_at > lease.ttl / 3;
  }

  /// Makes the calls that are due.
  /// @return False if a call failed.
  boost::asio::awaitable<bool> RunDueCalls(store_type& store) {
    bool succeeded = true;
    DropEarlierLeases();
    // The failover lease has the shorter time to live, so it is renewed first.
    if (failover_lease_.id != 0 && IsDue(failover_lease_)) {
      const bool renewed =
          co_await Renew(store, failover_lease_, "keep_failover");
      succeeded = succeeded && renewed;
    }
    if (lease_.id == 0) {
      const bool is_due = !leaving_ && monotonic_clock::now() >= register_at_;
      const bool registered = !is_due || co_await Register(store);
      succeeded = succeeded && registered;
    } else if (IsDue(lease_)) {
      const bool renewed = co_await Renew(store, lease_, "keep_lease");
      succeeded = succeeded && renewed;
    }
    if (IsStrayHolder(registry_, identity_, failover_lease_, eras_)) {
      const bool released = co_await ReleaseFailover(store);
      succeeded = succeeded && released;
    }
    const bool claim =
        lease_.id != 0 && registry_.loaded &&
        gateway_.current_catalog != nullptr && !leaving_ &&
        registry_.era == eras_.Current() &&
        eras_.HaveEarlierLeasesEnded(kFailoverLeaseTtl,
                                     monotonic_clock::now()) &&
        // A replacement is safe only if all instances are known. The claim
        // fails if the store is unavailable again.
        calls_.HaveEntriesReturned(monotonic_clock::now()) &&
        ShouldClaimFailover(registry_, host_, monotonic_clock::now());
    if (claim) {
      const bool claimed = co_await ClaimFailover(store);
      succeeded = succeeded && claimed;
    }
    co_return succeeded;
  }

  boost::asio::awaitable<held_lease> AcquireLease(store_type& store,
                                                  duration ttl) {
    held_lease lease;
    const time_point sent_at = monotonic_clock::now();
    const result<store_lease> granted = co_await store.GrantLease(ttl);
    calls_.RecordCall("grant_lease", granted);
    if (granted) {
      lease.id = granted.value().id;
      lease.era = granted.value().era;
      lease.ttl = granted.value().ttl;
      lease.renewed_at = sent_at;
    }
    co_return lease;
  }

  [[nodiscard]] store_entry CapacityEntry() const {
    return {std::string(kCapacityPrefix) + host_,
            FormatCapacityEntry(capacity_)};
  }

  boost::asio::awaitable<bool> Register(store_type& store) {
    const held_lease lease = co_await AcquireLease(store, kHostLeaseTtl);
    if (lease.id == 0) {
      co_return false;
    }
    store_change entry;
    entry.key = std::string(kHostsPrefix) + host_;
    entry.value = FormatEndpoint(listen_);
    entry.lease = lease.id;
    entry.companions.push_back(CapacityEntry());
    const result<store_commit> written = co_await store.Commit(entry);
    calls_.RecordCall("register", written);
    const bool registered =
        written && written.value().revision.era == lease.era;
    if (registered) {
      lease_ = lease;
    }
    co_return registered;
  }

  boost::asio::awaitable<bool> Renew(store_type& store, held_lease& lease,
                                     std::string call_name) {
    const time_point sent_at = monotonic_clock::now();
    const std::uint64_t id = lease.id;
    const result<void> kept = co_await store.KeepLease(id);
    calls_.RecordCall(call_name, kept);
    if (!IsCurrent(lease)) {
      co_return false;
    }
    if (kept) {
      lease.renewed_at = sent_at;
      co_return true;
    }
    if (kept.error().kind == error_kind::kNotFound) {
      Log(log_level::kWarning, "lease_lapsed", {{"call", call_name}});
      lease = held_lease();
    }
    co_return false;
  }

  /// Removes the record that names this host as holder of the failover lease.
  /// @return False if the call failed.
  boost::asio::awaitable<bool> ReleaseFailover(store_type& store) {
    store_change release;
    release.key = std::string(kFailoverKey);
    release.remove = true;
    release.conditions.push_back(
        {release.key, registry_.failover.fencing_token.number});
    registry_.failover.holder.clear();
    registry_.failover.vacant_since = monotonic_clock::now();
    const result<store_commit> released = co_await store.Commit(release);
    calls_.RecordCall("release_failover", released);
    co_return released.has_value();
  }

  boost::asio::awaitable<bool> ClaimFailover(store_type& store) {
    const held_lease lease = co_await AcquireLease(store, kFailoverLeaseTtl);
    if (lease.id == 0) {
      co_return false;
    }
    store_change claim;
    claim.key = std::string(kFailoverKey);
    claim.value = identity_;
    claim.lease = lease.id;
    claim.conditions.push_back({claim.key, 0});
    const result<store_commit> claimed = co_await store.Commit(claim);
    calls_.RecordCall("claim_failover", claimed);
    const bool holds = claimed && claimed.value().applied &&
                       claimed.value().revision.era == lease.era;
    if (!holds) {
      co_return false;
    }
    failover_lease_ = lease;
    store_item item;
    item.key = claim.key;
    item.value = claim.value;
    item.revision = claimed.value().revision;
    item.lease = claim.lease;
    ApplyRegistryItem(registry_, item, monotonic_clock::now());
    Log(log_level::kInfo, "failover_lease_taken",
        {{"token", FormatRevision(item.revision)}});
    co_return true;
  }

  Platform platform_;
  gateway_state<codec>& gateway_;
  host_registry& registry_;
  const store_era_tracker& eras_;
  store_call_recorder& calls_;
  store_era_observer observe_era_;
  std::string host_;
  std::string identity_;
  endpoint listen_;
  host_capacity capacity_;
  held_lease lease_;
  held_lease failover_lease_;
  /// Time of the registration in a new era.
  time_point register_at_;
  std::mt19937_64 random_{std::random_device()()};
  bool leaving_ = false;
  /// A call that may write is in flight.
  bool call_in_flight_ = false;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_REGISTRATION_H_
