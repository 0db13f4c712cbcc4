#ifndef SASSAFRASWICK_GATEWAY_FLEET_AGENT_H_
#define SASSAFRASWICK_GATEWAY_FLEET_AGENT_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "sassafraswick/core/deflate.h"
#include "sassafraswick/core/log.h"
#include "sassafraswick/fleet/version_catch_up.h"
#include "sassafraswick/gateway/acknowledged_exchange.h"
#include "sassafraswick/gateway/connection_lender.h"
#include "sassafraswick/gateway/gateway_platform.h"
#include "sassafraswick/gateway/gateway_state.h"
#include "sassafraswick/gateway/order_records.h"
#include "sassafraswick/gateway/proof_exchange.h"
#include "sassafraswick/gateway/registration.h"
#include "sassafraswick/gateway/registry.h"
#include "sassafraswick/gateway/settings.h"
#include "sassafraswick/gateway/shared_store.h"
#include "sassafraswick/gateway/step_down_exchange.h"
#include "sassafraswick/gateway/store_call_recorder.h"
#include "sassafraswick/gateway/store_watcher.h"
#include "sassafraswick/gateway/target_directory.h"
#include "sassafraswick/net/async_event.h"
#include "sassafraswick/net/spawn.h"
#include "sassafraswick/peer/peer_link.h"

/// @file
/// Connects a host to the fleet: watches the configuration, the targets and the
/// hosts in the store, keeps the host registered, and exchanges newer
/// configurations with peers.

namespace sassafraswick {

/// Largest configuration that is accepted from a peer: four times what the
/// platform's store holds under one key.
inline constexpr std::size_t kMaxRecordBytes = 4'194'304;

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
        eras_(settings.fleet_starts),
        record_rate_limiter_(settings.link_mbps),
        calls_(gateway.counters),
        targets_(gateway),
        proofs_(gateway, host_,
                [this](const std::string& to, message::envelope envelope) {
                  SendTo(to, std::move(envelope));
                }),
        lender_(gateway,
                [this](const std::string& route, message::envelope envelope) {
                  Respond(route, std::move(envelope));
                }),
        step_downs_(
            gateway, registry_, host_,
            [this](const std::string& to, message::envelope envelope) {
              SendTo(to, std::move(envelope));
            },
            [this](const std::string& route, message::envelope envelope) {
              Respond(route, std::move(envelope));
            }),
        acknowledged_(
            gateway, registry_, host_,
            [this](const std::string& to, message::envelope envelope) {
              SendTo(to, std::move(envelope));
            },
            [this](const std::string& route, message::envelope envelope) {
              Respond(route, std::move(envelope));
            }),
        orders_(platform, gateway, calls_,
                [this](store_era era) { ObserveEra(era); }),
        registration_(
            platform, gateway, registry_, eras_, calls_,
            [this](store_era era) { ObserveEra(era); }, host_,
            host_ + "/" + std::to_string(link_.Identity().boot),
            link_.Identity().listen,
            host_capacity{settings.capacity, settings.availability_zone}),
        watcher_(platform, gateway, calls_, WatcherEnvironment()) {
    AddOwnHost();
    gateway_.proof_source = [this](const std::string& pool) {
      return proofs_.RequestProof(pool, registry_.names, registry_.cores);
    };
    gateway_.targets_current_at = [this] {
      return watcher_.CurrentAt(Platform::kTargetsPrefix);
    };
    if (settings.shares_connections) {
      EnableBorrowing();
    }
    WatchStore();
  }

  void Start() {
    watcher_.Start();
    SpawnWithRestart(gateway_.context, "registration",
                     [this] { return registration_.Run(); });
    SpawnWithRestart(gateway_.context, "targets",
                     [this] { return targets_.RemoveMissing(); });
    SpawnWithRestart(gateway_.context, "unconfirmed",
                     [this] { return RemoveUnconfirmed(); });
  }

  /// Sends a message to a host, with the version of the current configuration.
  void SendTo(const std::string& host, message::envelope envelope) {
    const auto found = registry_.hosts.find(host);
    if (found == registry_.hosts.end() || host == host_) {
      return;
    }
    AddKnownVersions(envelope);
    link_.Send(found->second, std::move(envelope));
  }

  /// Sends a response over the connection on which the request arrived.
  void Respond(const std::string& route, message::envelope envelope) {
    AddKnownVersions(envelope);
    link_.Reply(route, std::move(envelope));
  }

  /// Handles a message from a peer.
  void HandleMessage(const message::envelope& received,
                     const std::string& route) {
    gateway_.hubs.RecordMessage(received.host());
    gateway_.borrower->RecordMessage(received.host());
    RecordZoneTraffic(received);
    if (received.store_era() != 0) {
      ObserveEra(received.store_era());
    }
    CatchUpWith(received, route);
    if (HandleLending(received, route)) {
      return;
    }
    if (received.has_token_transfer()) {
      const std::optional<message::token_answer> answer =
          gateway_.limiter.HandleTransfer(received.token_transfer());
      if (answer.has_value()) {
        message::envelope envelope;
        *envelope.mutable_token_answer() = *answer;
        Respond(route, std::move(envelope));
      }
    } else if (received.has_token_answer()) {
      gateway_.limiter.HandleAnswer(received.token_answer());
    } else if (received.has_view_question()) {
      Spawn(gateway_.context, "view",
            [this, route, question = received.view_question()] {
              return AnswerViewQuestion(route, question);
            });
    } else if (received.has_view_answer()) {
      proofs_.HandleAnswer(received.view_answer());
    } else if (received.has_news_request()) {
      watcher_.HandleRequest(received.host(), route, received.news_request());
    } else if (received.has_news_answer()) {
      watcher_.HandleAnswer(received.news_answer());
    } else if (received.has_step_down_request()) {
      step_downs_.HandleRequest(received, route);
    } else if (received.has_step_down_answer()) {
      step_downs_.HandleAnswer(received.step_down_answer());
    } else if (received.has_acknowledged_question()) {
      acknowledged_.HandleQuestion(received.acknowledged_question(), route);
    } else if (received.has_acknowledged_answer()) {
      acknowledged_.HandleAnswer(received.acknowledged_answer());
    } else if (received.has_configuration_request()) {
      SendRecord(route);
    } else if (received.has_configuration_record()) {
      HandleRecord(received.configuration_record());
    }
  }

  /// Ends the connections that are lent to hosts which have failed.
  void EndExpiredLeases() { lender_.EndExpired(); }

  /// Removes the host's entry and releases the failover lease.
  boost::asio::awaitable<void> Leave() { return registration_.Leave(); }

  /// Returns whether this host holds the failover lease and may replace
  /// primaries.
  [[nodiscard]] bool HoldsFailover(time_point now) const {
    return registration_.HoldsFailover(now);
  }
  [[nodiscard]] duration FailoverTimeLeft(time_point now) const {
    return registration_.FailoverTimeLeft(now);
  }

  /// Step-downs that other hosts carry out for this one.
  [[nodiscard]] step_down_exchange<codec>& StepDowns() { return step_downs_; }

  /// Asks other hosts what they have passed on.
  [[nodiscard]] acknowledged_exchange<codec>& Acknowledged() {
    return acknowledged_;
  }

  /// Orders of the holder of the failover lease, as kept in the store.
  [[nodiscard]] order_records<Platform>& Orders() { return orders_; }

  [[nodiscard]] const host_registry& Registry() const { return registry_; }
  [[nodiscard]] const std::string& Host() const { return host_; }
  [[nodiscard]] store_era StoreEra() const { return eras_.Current(); }
  /// Returns whether the store may have lost changes that it acknowledged at
  /// some time within a span before `now`.
  [[nodiscard]] bool MayHaveLostChanges(duration span, time_point now) const {
    return eras_.MayHaveLostChanges(span, now);
  }
  [[nodiscard]] bool HasTargets() const { return targets_.IsLoaded(); }

  /// Reads the list of targets from the store, unless that is in progress.
  void RequestTargets() {
    watcher_.RequestLatestRead(Platform::kTargetsPrefix);
  }
  /// Returns when the newest complete read of the list of targets was sent.
  [[nodiscard]] time_point TargetsReadAt() const {
    return watcher_.LatestReadAt(Platform::kTargetsPrefix);
  }

 private:
  void EnableBorrowing() {
    borrower_environment environment;
    environment.host = host_;
    environment.find_address =
        [this](const std::string& host) -> std::optional<endpoint> {
      const auto found = registry_.hosts.find(host);
      return found == registry_.hosts.end()
                 ? std::nullopt
                 : std::optional<endpoint>(found->second);
    };
    environment.send = [this](const endpoint& to, message::envelope envelope) {
      AddKnownVersions(envelope);
      link_.Send(to, std::move(envelope));
    };
    gateway_.borrower->Enable(std::move(environment));
  }

  /// Handles a message about a lent connection.
  /// @return False if it is another one.
  bool HandleLending(const message::envelope& received,
                     const std::string& route) {
    switch (received.body_case()) {
      case message::envelope::kLendRequest:
        lender_.HandleRequest(received, route);
        return true;
      case message::envelope::kLentBatch:
        lender_.HandleBatch(received, route);
        return true;
      case message::envelope::kLendRelease:
        lender_.HandleRelease(received);
        return true;
      case message::envelope::kLendAnswer:
        gateway_.borrower->HandleAnswer(received);
        return true;
      case message::envelope::kLentResult:
        gateway_.borrower->HandleResult(received);
        return true;
      default:
        return false;
    }
  }

  /// Adds this host to the registry, which may lack its entry.
  void AddOwnHost() {
    registry_.hosts[host_] = link_.Identity().listen;
    registry_.names.push_back(host_);
    registry_.expired.erase(host_);
  }

  /// Counts a message from another availability zone.
  void RecordZoneTraffic(const message::envelope& received) {
    const auto sender = registry_.capacities.find(received.host());
    if (sender == registry_.capacities.end() ||
        sender->second.capacity.availability_zone ==
            gateway_.availability_zone) {
      return;
    }
    const google::protobuf::FieldDescriptor* const body =
        received.GetReflection()->GetOneofFieldDescriptor(
            received, received.GetDescriptor()->oneof_decl(0));
    gateway_.counters.between_zones.Record(
        body == nullptr ? std::string_view("unknown") : body->name(),
        received.ByteSizeLong());
  }

  /// Adds what every message tells the receiver: the newest configuration and
  /// era of the store that this host knows.
  void AddKnownVersions(message::envelope& envelope) const {
    envelope.set_configuration_version(Version());
    envelope.set_store_era(eras_.Current());
  }

  /// Records the era of a response of the store or of a peer's message.
  void ObserveEra(store_era era) {
    if (eras_.Observe(era, monotonic_clock::now())) {
      Log(log_level::kWarning, "store_era", {{"era", std::to_string(era)}});
      watcher_.BeginEra();
    }
  }

  /// Removes what a new era of the store lacked and what was not written again.
  boost::asio::awaitable<void> RemoveUnconfirmed() {
    constexpr duration kInterval = std::chrono::seconds(1);
    while (true) {
      co_await Sleep(kInterval);
      const time_point now = monotonic_clock::now();
      if (DropUnconfirmedHosts(registry_, now)) {
        UpdateHostCount();
      }
      gateway_.evacuated.DropLostMarks(now);
      OnEvacuationsChanged();
    }
  }

  store_watcher_environment WatcherEnvironment() {
    store_watcher_environment environment;
    environment.era = [this] { return eras_.Current(); };
    environment.observe_era = [this](store_era era) { ObserveEra(era); };
    environment.host = host_;
    environment.first_delay =
        fleet_starts_ ? kFleetRegistrationTime : duration::zero();
    environment.hosts = [this]() -> const std::vector<std::string>& {
      return registry_.names;
    };
    environment.cores = [this]() -> const std::vector<double>& {
      return registry_.cores;
    };
    environment.send = [this](const std::string& to,
                              message::envelope envelope) {
      SendTo(to, std::move(envelope));
    };
    environment.respond = [this](const std::string& route,
                                 message::envelope envelope) {
      Respond(route, std::move(envelope));
    };
    return environment;
  }

  /// Registers the watched keys and the functions that apply them. A complete
  /// read applies them in this order: a host that learned of an instance before
  /// it knows the other hosts would query it as the only host of a fleet.
  void WatchStore() {
    watched_prefix hosts;
    hosts.prefix = std::string(kRegistryPrefix);
    hosts.apply_snapshot = [this](const store_page& page) {
      LoadRegistry(registry_, page, monotonic_clock::now());
      UpdateHostCount();
    };
    hosts.apply_changes = [this](const store_page& page) {
      ApplyRegistryChanges(page);
    };
    watcher_.AddPrefix(std::move(hosts));
    watched_prefix configuration;
    configuration.prefix = std::string(Platform::kConfigurationKey);
    configuration.apply_snapshot = [this](const store_page& page) {
      ApplyConfiguration(page);
    };
    configuration.apply_changes = configuration.apply_snapshot;
    configuration.relayed = false;
    watcher_.AddPrefix(std::move(configuration));
    watched_prefix targets;
    targets.prefix = std::string(Platform::kTargetsPrefix);
    targets.apply_snapshot = [this](const store_page& page) {
      targets_.Load(page, monotonic_clock::now());
    };
    targets.apply_changes = [this](const store_page& page) {
      targets_.ApplyChanges(page, monotonic_clock::now());
    };
    watcher_.AddPrefix(std::move(targets));
    watched_prefix evacuations;
    evacuations.prefix = std::string(Platform::kEvacuationPrefix);
    evacuations.apply_snapshot = [this](const store_page& page) {
      LoadEvacuations(page);
    };
    evacuations.apply_changes = [this](const store_page& page) {
      ApplyEvacuations(page);
    };
    watcher_.AddPrefix(std::move(evacuations));
  }

  static std::string EvacuatedZone(const store_item& item) {
    return item.key.substr(Platform::kEvacuationPrefix.size());
  }

  void LoadEvacuations(const store_page& page) {
    std::vector<std::string> zones;
    for (const store_item& item : page.items) {
      zones.push_back(EvacuatedZone(item));
    }
    gateway_.evacuated.Load(zones, page.revision.era, monotonic_clock::now());
    OnEvacuationsChanged();
  }

  void ApplyEvacuations(const store_page& page) {
    for (const store_item& item : page.items) {
      if (item.deleted) {
        gateway_.evacuated.Unmark(EvacuatedZone(item));
      } else {
        gateway_.evacuated.Mark(EvacuatedZone(item), monotonic_clock::now());
      }
    }
    OnEvacuationsChanged();
  }

  void OnEvacuationsChanged() {
    const std::vector<std::string> zones = gateway_.evacuated.Names();
    if (zones == evacuated_zones_) {
      return;
    }
    evacuated_zones_ = zones;
    std::string text;
    for (const std::string& zone : zones) {
      text += text.empty() ? zone : "," + zone;
    }
    Log(log_level::kInfo, "zones_evacuated", {{"zones", text}});
    gateway_.ApplyEvacuation();
  }

  void ApplyConfiguration(const store_page& page) {
    for (const store_item& item : page.items) {
      if (item.key == Platform::kConfigurationKey && !item.deleted) {
        InstallRecord(item.value, "store");
      }
    }
  }

  [[nodiscard]] std::uint64_t Version() const {
    return gateway_.current_catalog == nullptr
               ? 0
               : gateway_.current_catalog->version;
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
    if (gateway_.current_catalog != nullptr &&
        decoded.value()->version <= Version()) {
      return;
    }
    record_ = record;
    compressed_record_.clear();
    gateway_.InstallCatalog(decoded.value());
    Log(log_level::kInfo, "configuration_in_force",
        {{"version", std::to_string(Version())},
         {"source", std::string(source)},
         {"bytes", std::to_string(record.size())}});
    watcher_.NotifySubscribers(true);
  }

  /// Sends a peer the configuration, or the time after which to request it
  /// again.
  void SendRecord(const std::string& route) {
    if (record_.empty()) {
      return;
    }
    if (compressed_record_.empty()) {
      compressed_record_ = Deflate(record_);
    }
    message::envelope envelope;
    message::configuration_record& answer =
        *envelope.mutable_configuration_record();
    if (record_rate_limiter_.TrySend(compressed_record_.size(),
                                     monotonic_clock::now())) {
      answer.set_deflated(compressed_record_);
      answer.set_size(record_.size());
    } else {
      const duration retry_after =
          record_rate_limiter_.RetryAfter(compressed_record_.size());
      answer.set_retry_after_us(
          static_cast<std::uint64_t>(retry_after.count()));
    }
    Respond(route, std::move(envelope));
  }

  void HandleRecord(const message::configuration_record& answer) {
    if (answer.deflated().empty()) {
      catch_up_.OnPeerBusy(
          duration(static_cast<std::int64_t>(answer.retry_after_us())),
          monotonic_clock::now());
      return;
    }
    const result<std::string> record =
        Inflate(answer.deflated(), answer.size(), kMaxRecordBytes);
    if (!record) {
      Log(log_level::kError, "configuration_unreadable",
          {{"source", "peer"}, {"reason", record.error().message}});
      return;
    }
    InstallRecord(record.value(), "peer");
  }

  boost::asio::awaitable<void> AnswerViewQuestion(
      std::string route, message::view_question question) {
    std::optional<message::view_answer> answer =
        co_await proofs_.Answer(question);
    if (answer.has_value()) {
      message::envelope envelope;
      *envelope.mutable_view_answer() = std::move(*answer);
      Respond(route, std::move(envelope));
    }
  }

  /// Requests the configuration if a peer has a newer one: the store may be
  /// down or may reject this host's calls.
  void CatchUpWith(const message::envelope& received,
                   const std::string& route) {
    const catch_up_step step =
        catch_up_.Next(received.configuration_version(), Version(),
                       watcher_.IsWatching(), monotonic_clock::now());
    if (step == catch_up_step::kReadStore) {
      watcher_.RequestUnrelayedRead();
    } else if (step == catch_up_step::kRequestFromPeer) {
      message::envelope envelope;
      envelope.mutable_configuration_request();
      Respond(route, std::move(envelope));
    }
  }

  void ApplyRegistryChanges(const store_page& page) {
    const std::string before = registry_.failover.holder;
    for (const store_item& item : page.items) {
      ApplyRegistryItem(registry_, item, monotonic_clock::now());
    }
    if (registry_.failover.holder != before) {
      Log(log_level::kInfo, "failover_lease",
          {{"holder", registry_.failover.holder},
           {"token", FormatRevision(registry_.failover.fencing_token)}});
    }
    UpdateHostCount();
  }

  void UpdateHostCount() {
    if (!registry_.hosts.contains(host_)) {
      AddOwnHost();
    }
    RefreshCores(registry_);
    gateway_.hubs.Retain(registry_.names);
    gateway_.homes.SetCandidates(HomeCandidates(registry_));
    const std::uint32_t count =
        CountSharingHosts(registry_, monotonic_clock::now());
    if (count != gateway_.host_count && gateway_.current_catalog != nullptr) {
      gateway_.SetHostCount(count);
    }
    gateway_.host_count = count;
  }

  gateway_state<codec>& gateway_;
  peer_link& link_;
  std::string host_;
  bool fleet_starts_;
  store_era_tracker eras_;
  host_registry registry_;
  /// Evacuated zones of which the instances were told.
  std::vector<std::string> evacuated_zones_;
  std::string record_;
  /// `record_`, compressed on the first request of a peer.
  std::string compressed_record_;
  version_catch_up catch_up_;
  record_rate_limiter record_rate_limiter_;
  store_call_recorder calls_;
  target_directory<Platform> targets_;
  proof_exchange<codec> proofs_;
  connection_lender<codec> lender_;
  step_down_exchange<codec> step_downs_;
  acknowledged_exchange<codec> acknowledged_;
  order_records<Platform> orders_;
  registration<Platform> registration_;
  store_watcher<Platform> watcher_;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_FLEET_AGENT_H_
