#ifndef SASSAFRASWICK_GATEWAY_REGISTRATION_H_
#define SASSAFRASWICK_GATEWAY_REGISTRATION_H_

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>
#include <utility>

#include "sassafraswick/core/log.h"
#include "sassafraswick/gateway/gateway_platform.h"
#include "sassafraswick/gateway/gateway_state.h"
#include "sassafraswick/gateway/registry.h"
#include "sassafraswick/gateway/shared_store.h"
#include "sassafraswick/gateway/store_calls.h"
#include "sassafraswick/net/async_event.h"

/// @file
/// A host's own keys in the store: its entry among the hosts, and the failover
/// lease while it holds it.

namespace sassafraswick {

/// Longest pause after a failed call of a host without the failover lease: its
/// own lease lasts long, and all hosts fail together while the store is away.
inline constexpr duration kRenewalRetryLimit = std::chrono::milliseconds(2000);
/// Longest time for which a stopping host waits for its own calls to end; its
/// entry lapses with its lease if the store is away.
inline constexpr duration kLeavePatience = std::chrono::milliseconds(1000);

template <gateway_platform Platform>
class registration {
 public:
  using codec = typename Platform::codec;
  using store_type = typename Platform::store;

  /// @param identity Host and start, as written into the failover lease.
  registration(const Platform& platform, gateway_state<codec>& gateway,
               host_registry& registry, store_calls& calls, std::string host,
               std::string identity, endpoint listen)
      : platform_(platform),
        gateway_(gateway),
        registry_(registry),
        calls_(calls),
        host_(std::move(host)),
        identity_(std::move(identity)),
        listen_(std::move(listen)) {}

  /// Keeps the leases and the own entry and, if vacant, takes the failover
  /// lease.
  boost::asio::awaitable<void> Run() {
    const std::unique_ptr<store_type> store =
        platform_.MakeStore(gateway_.context.get_executor());
    constexpr duration kTick = std::chrono::milliseconds(100);
    duration retry = kStoreRetry;
    time_point retry_at;
    while (!leaving_) {
      co_await Sleep(kTick);
      const bool rests = leaving_ || monotonic_clock::now() < retry_at;
      if (rests) {
        continue;
      }
      calling_ = true;
      const bool succeeded = co_await KeepUp(*store);
      calling_ = false;
      const duration limit =
          failover_lease_.id != 0 ? kStoreRetryLimit : kRenewalRetryLimit;
      retry = succeeded ? kStoreRetry : std::min(retry * 2, limit);
      retry_at = succeeded ? time_point() : monotonic_clock::now() + retry;
    }
  }

  /// Ends the registration and the failover lease.
  boost::asio::awaitable<void> Leave() {
    leaving_ = true;
    // An entry that is being written would outlive its removal.
    constexpr duration kLook = std::chrono::milliseconds(10);
    const time_point patience = monotonic_clock::now() + kLeavePatience;
    while (calling_ && monotonic_clock::now() < patience) {
      co_await Sleep(kLook);
    }
    const std::unique_ptr<store_type> store =
        platform_.MakeStore(gateway_.context.get_executor());
    if (NamesThisHost() &&
        monotonic_clock::now() < failover_lease_.ValidUntil()) {
      store_change release;
      release.key = std::string(kFailoverKey);
      release.remove = true;
      release.conditional = true;
      release.expected_revision = registry_.failover.fencing_token;
      registry_.failover.holder.clear();
      const result<store_commit> released = co_await store->Commit(release);
      calls_.Note("release_failover", released);
    }
    store_change removal;
    removal.key = std::string(kHostsPrefix) + host_;
    removal.remove = true;
    const result<store_commit> removed = co_await store->Commit(removal);
    calls_.Note("unregister", removed);
  }

  /// Tells whether this host may replace primaries now.
  [[nodiscard]] bool HoldsFailover(time_point now) const {
    return !leaving_ && NamesThisHost() && now < failover_lease_.ValidUntil();
  }

 private:
  [[nodiscard]] bool NamesThisHost() const {
    return registry_.failover.holder == identity_ &&
           registry_.failover.lease == failover_lease_.id;
  }

  static bool IsDue(const lease_clock& lease) {
    return monotonic_clock::now() - lease.renewed_at > lease.ttl / 3;
  }

  /// Does what is due.
  /// @return False if a call failed.
  boost::asio::awaitable<bool> KeepUp(store_type& store) {
    bool succeeded = true;
    // The failover lease is short: it goes first.
    if (failover_lease_.id != 0 && IsDue(failover_lease_)) {
      const bool renewed =
          co_await Renew(store, failover_lease_, "keep_failover");
      succeeded = succeeded && renewed;
    }
    if (lease_.id == 0 && !leaving_) {
      const bool registered = co_await Register(store);
      succeeded = succeeded && registered;
    } else if (IsDue(lease_)) {
      const bool renewed = co_await Renew(store, lease_, "keep_lease");
      succeeded = succeeded && renewed;
    }
    const bool claim =
        lease_.id != 0 && registry_.loaded && gateway_.tables != nullptr &&
        !leaving_ &&
        ShouldClaimFailover(registry_, host_, monotonic_clock::now());
    if (claim) {
      const bool claimed = co_await ClaimFailover(store);
      succeeded = succeeded && claimed;
    }
    co_return succeeded;
  }

  boost::asio::awaitable<lease_clock> Grant(store_type& store, duration ttl) {
    lease_clock lease;
    const time_point sent_at = monotonic_clock::now();
    const result<store_lease> granted = co_await store.GrantLease(ttl);
    calls_.Note("grant_lease", granted);
    if (granted) {
      lease.id = granted.value().id;
      lease.ttl = granted.value().ttl;
      lease.renewed_at = sent_at;
    }
    co_return lease;
  }

  boost::asio::awaitable<bool> Register(store_type& store) {
    const lease_clock lease = co_await Grant(store, kHostLease);
    if (lease.id == 0) {
      co_return false;
    }
    store_change entry;
    entry.key = std::string(kHostsPrefix) + host_;
    entry.value = FormatEndpoint(listen_);
    entry.lease = lease.id;
    const result<store_commit> written = co_await store.Commit(entry);
    calls_.Note("register", written);
    if (written) {
      lease_ = lease;
    }
    co_return written.has_value();
  }

  boost::asio::awaitable<bool> Renew(store_type& store, lease_clock& lease,
                                     std::string what) {
    const time_point sent_at = monotonic_clock::now();
    const std::uint64_t id = lease.id;
    const result<void> kept = co_await store.KeepLease(id);
    calls_.Note(what, kept);
    if (kept) {
      lease.renewed_at = sent_at;
      co_return true;
    }
    if (kept.error().kind == error_kind::kNotFound) {
      Log(log_level::kWarning, "lease_lapsed", {{"call", what}});
      lease = lease_clock();
    }
    co_return false;
  }

  boost::asio::awaitable<bool> ClaimFailover(store_type& store) {
    const lease_clock lease = co_await Grant(store, kFailoverLease);
    if (lease.id == 0) {
      co_return false;
    }
    store_change claim;
    claim.key = std::string(kFailoverKey);
    claim.value = identity_;
    claim.lease = lease.id;
    claim.conditional = true;
    const result<store_commit> claimed = co_await store.Commit(claim);
    calls_.Note("claim_failover", claimed);
    if (!claimed || !claimed.value().applied) {
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
        {{"token", std::to_string(item.revision)}});
    co_return true;
  }

  Platform platform_;
  gateway_state<codec>& gateway_;
  host_registry& registry_;
  store_calls& calls_;
  std::string host_;
  std::string identity_;
  endpoint listen_;
  lease_clock lease_;
  lease_clock failover_lease_;
  bool leaving_ = false;
  /// A call that may write is under way.
  bool calling_ = false;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_REGISTRATION_H_
