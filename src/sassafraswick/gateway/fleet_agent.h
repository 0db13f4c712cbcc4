#ifndef SASSAFRASWICK_GATEWAY_FLEET_AGENT_H_
#define SASSAFRASWICK_GATEWAY_FLEET_AGENT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "sassafraswick/core/log.h"
#include "sassafraswick/gateway/gateway_platform.h"
#include "sassafraswick/gateway/gateway_state.h"
#include "sassafraswick/gateway/proof_exchange.h"
#include "sassafraswick/gateway/registry.h"
#include "sassafraswick/gateway/shared_store.h"
#include "sassafraswick/gateway/target_directory.h"
#include "sassafraswick/net/async_event.h"
#include "sassafraswick/peer/peer_link.h"

/// @file
/// A host's part in the fleet: it follows the configuration and the list of
/// targets, registers itself, and tells its peers of newer configurations.

namespace sassafraswick {

/// Longest wait of one watch; the store's limit is 30 s.
inline constexpr duration kWatchWait = std::chrono::seconds(20);
/// Time before a failed call to the store is tried again, doubled up to the
/// limit: refused calls are priced too.
inline constexpr duration kStoreRetry = std::chrono::milliseconds(100);
inline constexpr duration kStoreRetryLimit = std::chrono::milliseconds(800);
/// Pause a host of the fleet after changes of targets or hosts were taken, and
/// its limit: each change costs every host a call, and some ten come together
/// when a fleet starts. Instances that leave serve on for 7 s and more.
inline constexpr duration kChangePause = std::chrono::milliseconds(8);
inline constexpr duration kChangePauseLimit = std::chrono::milliseconds(800);

template <gateway_platform Platform>
class fleet_agent {
 public:
  using codec = typename Platform::codec;
  using store_type = typename Platform::store;

  fleet_agent(const Platform& platform, gateway_state<codec>& gateway,
              peer_link& link, std::string host)
      : platform_(platform),
        gateway_(gateway),
        link_(link),
        host_(std::move(host)),
        identity_(host_ + "/" + std::to_string(link.Identity().boot)),
        targets_(gateway),
        proofs_(gateway, host_,
                [this](const std::string& to, message::envelope envelope) {
                  SendTo(to, std::move(envelope));
                }) {
    AddSelf();
    gateway_.proof_source = [this](const std::string& pool) {
      return proofs_.Ask(pool, registry_.names);
    };
  }

  void Start() {
    Spawn([this] {
      return Follow(
          std::string(Platform::kConfigurationKey),
          [this](const store_page& page) { TakeConfiguration(page); },
          [this](const store_page& page) { TakeConfiguration(page); });
    });
    Spawn([this] {
      return Follow(
          std::string(Platform::kTargetsPrefix),
          [this](const store_page& page) { targets_.Load(page); },
          [this](const store_page& page) { targets_.Take(page); });
    });
    Spawn([this] {
      return Follow(
          std::string(kRegistryPrefix),
          [this](const store_page& page) {
            LoadRegistry(registry_, page, monotonic_clock::now());
            NoteHosts();
          },
          [this](const store_page& page) { TakeRegistry(page); });
    });
    Spawn([this] { return KeepRegistered(); });
    Spawn([this] { return targets_.UnlistLapsed(); });
  }

  /// Sends a message to a host, with the newest configuration's version.
  void SendTo(const std::string& host, message::envelope envelope) {
    const auto found = registry_.hosts.find(host);
    if (found == registry_.hosts.end() || host == host_) {
      return;
    }
    envelope.set_configuration_version(Version());
    link_.Send(found->second, std::move(envelope));
  }

  /// Answers a message over the connection by which it came.
  void Answer(const std::string& route, message::envelope envelope) {
    envelope.set_configuration_version(Version());
    link_.Reply(route, std::move(envelope));
  }

  /// Handles a message of a peer.
  void Handle(const message::envelope& received, const std::string& route) {
    gateway_.contacts.NoteHeard(received.host());
    NoteVersion(received, route);
    if (received.has_token_transfer()) {
      const std::optional<message::token_answer> answer =
          gateway_.limiter.HandleTransfer(received.token_transfer());
      if (answer.has_value()) {
        message::envelope envelope;
        *envelope.mutable_token_answer() = *answer;
        Answer(route, std::move(envelope));
      }
    } else if (received.has_token_answer()) {
      gateway_.limiter.HandleAnswer(received.token_answer());
    } else if (received.has_view_question()) {
      Spawn([this, route, question = received.view_question()] {
        return AnswerView(route, question);
      });
    } else if (received.has_view_answer()) {
      proofs_.Take(received.view_answer());
    } else if (received.has_configuration_request()) {
      message::envelope envelope;
      envelope.mutable_configuration_record()->set_record(record_);
      Answer(route, std::move(envelope));
    } else if (received.has_configuration_record()) {
      InstallRecord(received.configuration_record().record(), "peer");
    }
  }

  /// Ends the registration and the failover lease.
  boost::asio::awaitable<void> Leave() {
    leaving_ = true;
    const std::unique_ptr<store_type> store =
        platform_.MakeStore(gateway_.context.get_executor());
    if (HoldsFailover(monotonic_clock::now())) {
      store_change release;
      release.key = std::string(kFailoverKey);
      release.remove = true;
      release.conditional = true;
      release.expected_revision = registry_.failover.fencing_token;
      registry_.failover.holder.clear();
      const result<store_commit> released = co_await store->Commit(release);
      NoteCall("release_failover", released);
    }
    store_change removal;
    removal.key = std::string(kHostsPrefix) + host_;
    removal.remove = true;
    const result<store_commit> removed = co_await store->Commit(removal);
    NoteCall("unregister", removed);
  }

  /// Tells whether this host may replace primaries now.
  [[nodiscard]] bool HoldsFailover(time_point now) const {
    return !leaving_ && registry_.failover.holder == identity_ &&
           registry_.failover.lease == lease_.id && now < lease_.ValidUntil();
  }

  [[nodiscard]] const host_registry& Registry() const { return registry_; }
  [[nodiscard]] const std::string& Host() const { return host_; }
  [[nodiscard]] bool HasTargets() const { return targets_.IsLoaded(); }

 private:
  template <typename Work>
  void Spawn(Work work) {
    boost::asio::co_spawn(gateway_.context, std::move(work),
                          boost::asio::detached);
  }

  template <typename Value>
  void NoteCall(std::string_view what, const result<Value>& outcome) {
    ++gateway_.counters.store_calls;
    const bool was_down = !store_error_.empty();
    store_error_ = outcome ? std::string() : outcome.error().message;
    if (!outcome && !was_down) {
      Log(log_level::kWarning, "store_lost",
          {{"call", std::string(what)}, {"reason", store_error_}});
    } else if (outcome && was_down) {
      Log(log_level::kInfo, "store_regained", {{"call", std::string(what)}});
    }
  }

  /// This host is one of the fleet, whether its entry is there or not.
  void AddSelf() {
    registry_.hosts[host_] = link_.Identity().listen;
    registry_.names.push_back(host_);
    registry_.lapsed.erase(host_);
  }

  /// Rest for which changes are gathered, so that they are taken together.
  [[nodiscard]] duration ChangePause() const {
    const std::int64_t hosts =
        static_cast<std::int64_t>(registry_.names.size());
    return std::min(kChangePause * hosts, kChangePauseLimit);
  }

  /// Reads a prefix and then follows its changes.
  boost::asio::awaitable<void> Follow(
      std::string prefix, std::function<void(const store_page&)> load,
      std::function<void(const store_page&)> take) {
    const std::unique_ptr<store_type> store =
        platform_.MakeStore(gateway_.context.get_executor());
    duration retry = kStoreRetry;
    std::int64_t revision = 0;
    while (true) {
      if (revision == 0) {
        const result<store_page> page = co_await store->Range(prefix);
        NoteCall("range", page);
        if (page) {
          load(page.value());
          revision = page.value().revision;
          retry = kStoreRetry;
          continue;
        }
      } else {
        const result<store_page> page =
            co_await store->Watch(prefix, revision, kWatchWait);
        NoteCall("watch", page);
        if (page) {
          take(page.value());
          revision = page.value().revision;
          retry = kStoreRetry;
          if (prefix != Platform::kConfigurationKey) {
            co_await Sleep(ChangePause());
          }
          continue;
        }
        if (page.error().kind == error_kind::kNotFound) {
          Log(log_level::kInfo, "store_history_lost", {{"prefix", prefix}});
          revision = 0;
          continue;
        }
      }
      co_await Sleep(retry);
      retry = std::min(retry * 2, kStoreRetryLimit);
    }
  }

  void TakeConfiguration(const store_page& page) {
    for (const store_item& item : page.items) {
      if (item.key == Platform::kConfigurationKey && !item.deleted) {
        InstallRecord(item.value, "store");
      }
    }
  }

  [[nodiscard]] std::uint64_t Version() const {
    return gateway_.tables == nullptr ? 0 : gateway_.tables->version;
  }

  void InstallRecord(const std::string& record, std::string_view source) {
    const result<std::shared_ptr<const catalog>> decoded =
        Platform::DecodeCatalog(record);
    if (!decoded) {
      Log(log_level::kError, "configuration_unreadable",
          {{"source", std::string(source)},
           {"reason", decoded.error().message}});
      return;
    }
    if (gateway_.tables != nullptr && decoded.value()->version <= Version()) {
      return;
    }
    record_ = record;
    gateway_.Install(decoded.value());
    Log(log_level::kInfo, "configuration_in_force",
        {{"version", std::to_string(Version())},
         {"source", std::string(source)}});
  }

  boost::asio::awaitable<void> AnswerView(std::string route,
                                          message::view_question question) {
    std::optional<message::view_answer> answer =
        co_await proofs_.Answer(question);
    if (answer.has_value()) {
      message::envelope envelope;
      *envelope.mutable_view_answer() = std::move(*answer);
      Answer(route, std::move(envelope));
    }
  }

  /// Asks a peer for its configuration if it is newer.
  void NoteVersion(const message::envelope& received,
                   const std::string& route) {
    const time_point now = monotonic_clock::now();
    constexpr duration kAskAgain = std::chrono::milliseconds(300);
    if (received.configuration_version() <= Version() ||
        now - asked_version_at_ < kAskAgain) {
      return;
    }
    asked_version_at_ = now;
    message::envelope envelope;
    envelope.mutable_configuration_request();
    Answer(route, std::move(envelope));
  }

  void TakeRegistry(const store_page& page) {
    const std::string before = registry_.failover.holder;
    for (const store_item& item : page.items) {
      ApplyRegistryItem(registry_, item, monotonic_clock::now());
    }
    if (registry_.failover.holder != before) {
      Log(log_level::kInfo, "failover_lease",
          {{"holder", registry_.failover.holder},
           {"token", std::to_string(registry_.failover.fencing_token)}});
    }
    NoteHosts();
  }

  void NoteHosts() {
    if (!registry_.hosts.contains(host_)) {
      AddSelf();
    }
    gateway_.contacts.Retain(registry_.names);
    const std::uint32_t count = SharingHosts(registry_, monotonic_clock::now());
    if (count != gateway_.host_count && gateway_.tables != nullptr) {
      gateway_.SetHostCount(count);
    }
    gateway_.host_count = count;
  }

  /// Keeps the lease, the own entry and, if vacant, takes the failover lease.
  boost::asio::awaitable<void> KeepRegistered() {
    const std::unique_ptr<store_type> store =
        platform_.MakeStore(gateway_.context.get_executor());
    constexpr duration kTick = std::chrono::milliseconds(100);
    while (!leaving_) {
      if (lease_.id == 0) {
        co_await Register(*store);
      } else if (monotonic_clock::now() - lease_.renewed_at > lease_.ttl / 3) {
        co_await Renew(*store);
      }
      const bool claim =
          lease_.id != 0 && gateway_.tables != nullptr && !leaving_ &&
          ShouldClaimFailover(registry_, host_, monotonic_clock::now());
      if (claim) {
        co_await ClaimFailover(*store);
      }
      co_await Sleep(kTick);
    }
  }

  boost::asio::awaitable<void> Register(store_type& store) {
    const time_point sent_at = monotonic_clock::now();
    const result<store_lease> granted =
        co_await store.GrantLease(HostLeaseTime(registry_.hosts.size()));
    NoteCall("grant_lease", granted);
    if (!granted) {
      co_await Sleep(kStoreRetry);
      co_return;
    }
    store_change entry;
    entry.key = std::string(kHostsPrefix) + host_;
    entry.value = FormatEndpoint(link_.Identity().listen);
    entry.lease = granted.value().id;
    const result<store_commit> written = co_await store.Commit(entry);
    NoteCall("register", written);
    if (!written) {
      co_await Sleep(kStoreRetry);
      co_return;
    }
    lease_.id = granted.value().id;
    lease_.ttl = granted.value().ttl;
    lease_.renewed_at = sent_at;
  }

  boost::asio::awaitable<void> Renew(store_type& store) {
    const time_point sent_at = monotonic_clock::now();
    const result<void> kept = co_await store.KeepLease(lease_.id);
    NoteCall("keep_lease", kept);
    if (kept) {
      lease_.renewed_at = sent_at;
    } else if (kept.error().kind == error_kind::kNotFound) {
      Log(log_level::kWarning, "lease_lapsed", {});
      lease_ = lease_clock();
    } else {
      co_await Sleep(kStoreRetry);
    }
  }

  boost::asio::awaitable<void> ClaimFailover(store_type& store) {
    store_change claim;
    claim.key = std::string(kFailoverKey);
    claim.value = identity_;
    claim.lease = lease_.id;
    claim.conditional = true;
    const result<store_commit> claimed = co_await store.Commit(claim);
    NoteCall("claim_failover", claimed);
    if (claimed && claimed.value().applied) {
      store_item item;
      item.key = claim.key;
      item.value = claim.value;
      item.revision = claimed.value().revision;
      item.lease = claim.lease;
      ApplyRegistryItem(registry_, item, monotonic_clock::now());
      Log(log_level::kInfo, "failover_lease_taken",
          {{"token", std::to_string(item.revision)}});
    } else {
      co_await Sleep(kStoreRetry);
    }
  }

  Platform platform_;
  gateway_state<codec>& gateway_;
  peer_link& link_;
  std::string host_;
  /// Host and start, as written into the failover lease.
  std::string identity_;
  host_registry registry_;
  lease_clock lease_;
  std::string record_;
  std::string store_error_;
  time_point asked_version_at_;
  target_directory<Platform> targets_;
  proof_exchange<codec> proofs_;
  bool leaving_ = false;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_FLEET_AGENT_H_
