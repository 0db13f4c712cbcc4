#ifndef SASSAFRASWICK_GATEWAY_FLEET_AGENT_H_
#define SASSAFRASWICK_GATEWAY_FLEET_AGENT_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "sassafraswick/core/deflate.h"
#include "sassafraswick/core/log.h"
#include "sassafraswick/fleet/version_catch_up.h"
#include "sassafraswick/gateway/gateway_platform.h"
#include "sassafraswick/gateway/gateway_state.h"
#include "sassafraswick/gateway/proof_exchange.h"
#include "sassafraswick/gateway/registration.h"
#include "sassafraswick/gateway/registry.h"
#include "sassafraswick/gateway/settings.h"
#include "sassafraswick/gateway/shared_store.h"
#include "sassafraswick/gateway/store_calls.h"
#include "sassafraswick/gateway/store_news.h"
#include "sassafraswick/gateway/target_directory.h"
#include "sassafraswick/net/async_event.h"
#include "sassafraswick/net/spawn.h"
#include "sassafraswick/peer/peer_link.h"

/// @file
/// A host's part in the fleet: it follows the configuration and the list of
/// targets, registers itself, and tells its peers of newer configurations.

namespace sassafraswick {

/// Largest configuration that is taken from a peer; four times what the
/// platform's store holds under one key.
inline constexpr std::size_t kMaxRecord = 4'194'304;

template <gateway_platform Platform>
class fleet_agent {
 public:
  using codec = typename Platform::codec;

  fleet_agent(const Platform& platform, gateway_state<codec>& gateway,
              peer_link& link, const gateway_settings& settings)
      : gateway_(gateway),
        link_(link),
        host_(settings.host),
        fleet_starts_(settings.fleet_starts),
        record_pace_(settings.link_mbps),
        calls_(gateway.counters),
        targets_(gateway),
        proofs_(gateway, host_,
                [this](const std::string& to, message::envelope envelope) {
                  SendTo(to, std::move(envelope));
                }),
        registration_(platform, gateway, registry_, calls_, host_,
                      host_ + "/" + std::to_string(link_.Identity().boot),
                      link_.Identity().listen),
        news_(platform, gateway, calls_, NewsEnvironment()) {
    AddSelf();
    gateway_.proof_source = [this](const std::string& pool) {
      return proofs_.Ask(pool, registry_.names);
    };
    FollowStore();
  }

  void Start() {
    news_.Start();
    SpawnLoop(gateway_.context, "registration",
              [this] { return registration_.Run(); });
    SpawnLoop(gateway_.context, "targets",
              [this] { return targets_.UnlistLapsed(); });
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
    gateway_.contacts.RecordMessage(received.host());
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
      Spawn(gateway_.context, "view",
            [this, route, question = received.view_question()] {
              return AnswerView(route, question);
            });
    } else if (received.has_view_answer()) {
      proofs_.Take(received.view_answer());
    } else if (received.has_news_request()) {
      news_.Handle(received.host(), route, received.news_request());
    } else if (received.has_news_answer()) {
      news_.Take(received.news_answer());
    } else if (received.has_configuration_request()) {
      SendRecord(route);
    } else if (received.has_configuration_record()) {
      TakeRecord(received.configuration_record());
    }
  }

  /// Ends the registration and the failover lease.
  boost::asio::awaitable<void> Leave() { return registration_.Leave(); }

  /// Tells whether this host may replace primaries now.
  [[nodiscard]] bool HoldsFailover(time_point now) const {
    return registration_.HoldsFailover(now);
  }

  [[nodiscard]] const host_registry& Registry() const { return registry_; }
  [[nodiscard]] const std::string& Host() const { return host_; }
  [[nodiscard]] bool HasTargets() const { return targets_.IsLoaded(); }

 private:
  /// This host is one of the fleet, whether its entry is there or not.
  void AddSelf() {
    registry_.hosts[host_] = link_.Identity().listen;
    registry_.names.push_back(host_);
    registry_.lapsed.erase(host_);
  }

  news_environment NewsEnvironment() {
    news_environment environment;
    environment.host = host_;
    environment.first_delay =
        fleet_starts_ ? kFleetStartTime : duration::zero();
    environment.hosts = [this]() -> const std::vector<std::string>& {
      return registry_.names;
    };
    environment.send = [this](const std::string& to,
                              message::envelope envelope) {
      SendTo(to, std::move(envelope));
    };
    environment.answer = [this](const std::string& route,
                                message::envelope envelope) {
      Answer(route, std::move(envelope));
    };
    return environment;
  }

  /// Says what to do with the keys that are followed.
  void FollowStore() {
    followed_prefix configuration;
    configuration.prefix = std::string(Platform::kConfigurationKey);
    configuration.load = [this](const store_page& page) {
      TakeConfiguration(page);
    };
    configuration.take = configuration.load;
    configuration.relayed = false;
    news_.Add(std::move(configuration));
    followed_prefix targets;
    targets.prefix = std::string(Platform::kTargetsPrefix);
    targets.load = [this](const store_page& page) { targets_.Load(page); };
    targets.take = [this](const store_page& page) { targets_.Take(page); };
    news_.Add(std::move(targets));
    followed_prefix hosts;
    hosts.prefix = std::string(kRegistryPrefix);
    hosts.load = [this](const store_page& page) {
      LoadRegistry(registry_, page, monotonic_clock::now());
      NoteHosts();
    };
    hosts.take = [this](const store_page& page) { TakeRegistry(page); };
    news_.Add(std::move(hosts));
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
    deflated_.clear();
    gateway_.Install(decoded.value());
    Log(log_level::kInfo, "configuration_in_force",
        {{"version", std::to_string(Version())},
         {"source", std::string(source)},
         {"bytes", std::to_string(record.size())}});
    news_.TellAll(true);
  }

  /// Sends a peer the configuration, or when to ask again.
  void SendRecord(const std::string& route) {
    if (record_.empty()) {
      return;
    }
    if (deflated_.empty()) {
      deflated_ = Deflate(record_);
    }
    message::envelope envelope;
    message::configuration_record& answer =
        *envelope.mutable_configuration_record();
    if (record_pace_.TrySend(deflated_.size(), monotonic_clock::now())) {
      answer.set_deflated(deflated_);
      answer.set_size(record_.size());
    } else {
      const duration after = record_pace_.RetryAfter(deflated_.size());
      answer.set_retry_after_us(static_cast<std::uint64_t>(after.count()));
    }
    Answer(route, std::move(envelope));
  }

  void TakeRecord(const message::configuration_record& answer) {
    if (answer.deflated().empty()) {
      catch_up_.OnPeerBusy(
          duration(static_cast<std::int64_t>(answer.retry_after_us())),
          monotonic_clock::now());
      return;
    }
    const result<std::string> record =
        Inflate(answer.deflated(), answer.size(), kMaxRecord);
    if (!record) {
      Log(log_level::kError, "configuration_unreadable",
          {{"source", "peer"}, {"reason", record.error().message}});
      return;
    }
    InstallRecord(record.value(), "peer");
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

  /// Catches up if a peer has a newer configuration: the store may be away, or
  /// turn this host away.
  void NoteVersion(const message::envelope& received,
                   const std::string& route) {
    const catch_up_step step =
        catch_up_.Next(received.configuration_version(), Version(),
                       news_.Watches(), monotonic_clock::now());
    if (step == catch_up_step::kReadStore) {
      news_.Reload();
    } else if (step == catch_up_step::kAskPeer) {
      message::envelope envelope;
      envelope.mutable_configuration_request();
      Answer(route, std::move(envelope));
    }
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

  gateway_state<codec>& gateway_;
  peer_link& link_;
  std::string host_;
  bool fleet_starts_;
  host_registry registry_;
  std::string record_;
  /// `record_`, compressed; empty until a peer asks for it.
  std::string deflated_;
  version_catch_up catch_up_;
  record_rate_limiter record_pace_;
  store_calls calls_;
  target_directory<Platform> targets_;
  proof_exchange<codec> proofs_;
  registration<Platform> registration_;
  store_news<Platform> news_;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_FLEET_AGENT_H_
