#include "sassafraswick/proxy/fleet_service.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "sassafraswick/core/log.h"
#include "sassafraswick/proxy/dump.h"
#include "sassafraswick/routing/rendezvous.h"
#include "sassafraswick/store/configuration_store.h"

namespace sassafraswick {
namespace {

namespace asio = boost::asio;

/// Tick interval while organisations are using tokens.
constexpr duration kFastTickInterval = std::chrono::milliseconds(5);
constexpr duration kMembershipTickInterval = std::chrono::milliseconds(20);
constexpr duration kHostListInterval = std::chrono::seconds(2);
constexpr duration kHostListTimeout = std::chrono::seconds(1);
/// Time after which a watch is replaced by a read and a new watch. It bounds
/// how long a host misses changes if the connection of its watch has gone
/// silent.
constexpr duration kWatchTimeout = std::chrono::seconds(2);
constexpr duration kStoreRetryDelay = std::chrono::milliseconds(500);
/// Interval at which hosts that do not watch the store read the configuration.
constexpr duration kUnwatchedReadInterval = std::chrono::seconds(30);
constexpr duration kWatcherCheckInterval = std::chrono::milliseconds(500);
constexpr duration kRecordRequestTimeout = std::chrono::milliseconds(200);
constexpr duration kPrimaryQueryInterval = std::chrono::milliseconds(100);
/// Hosts per availability zone that watch the store for a new configuration.
constexpr std::size_t kWatchersPerZone = 2;
/// Hosts to which one announcement or query is sent.
constexpr std::size_t kGossipFanout = 3;

message::member Encode(const member& known) {
  message::member encoded;
  encoded.set_host(known.host);
  encoded.set_availability_zone(known.availability_zone);
  encoded.set_peers(FormatEndpoint(known.peers));
  encoded.set_boot(known.boot);
  encoded.set_incarnation(known.incarnation);
  encoded.set_state(static_cast<std::uint32_t>(known.state));
  return encoded;
}

std::optional<member> Decode(const message::member& encoded) {
  const result<endpoint> peers = ParseEndpoint(encoded.peers());
  if (!peers ||
      encoded.state() > static_cast<std::uint32_t>(member_state::kLeaving)) {
    return std::nullopt;
  }
  member decoded;
  decoded.host = encoded.host();
  decoded.availability_zone = encoded.availability_zone();
  decoded.peers = peers.value();
  decoded.boot = encoded.boot();
  decoded.incarnation = encoded.incarnation();
  decoded.state = static_cast<member_state>(encoded.state());
  return decoded;
}

/// Picks up to `count` random live hosts other than this one.
std::vector<std::string> PickHosts(const membership& fleet, std::size_t count,
                                   std::mt19937_64& random) {
  std::vector<std::string> hosts = LiveHosts(fleet);
  std::erase(hosts, fleet.self);
  std::shuffle(hosts.begin(), hosts.end(), random);
  hosts.resize(std::min(hosts.size(), count));
  return hosts;
}

}  // namespace

fleet_service::fleet_service(host_runtime& runtime, peer_link& link)
    : runtime_(runtime),
      link_(link),
      store_(runtime.Settings().platform.store),
      random_(std::random_device{}()) {}

void fleet_service::Start() {
  asio::io_context& context = runtime_.Context();
  asio::co_spawn(context, RunTickLoop(), asio::detached);
  asio::co_spawn(context, PollHostList(), asio::detached);
  asio::co_spawn(context, WatchConfiguration(), asio::detached);
  asio::co_spawn(context, PollGrantors(), asio::detached);
}

void fleet_service::SendTo(const std::string& host,
                           message::envelope envelope) {
  const auto found = runtime_.Fleet().members.find(host);
  if (found != runtime_.Fleet().members.end()) {
    link_.Send(found->second.peers, std::move(envelope));
    runtime_.Metrics().peer_messages = link_.MessagesSent();
    runtime_.Metrics().peer_bytes = link_.BytesSent();
  }
}

void fleet_service::Handle(const message::envelope& received,
                           const std::string& route) {
  switch (received.body_case()) {
    case message::envelope::kPing:
    case message::envelope::kPingAnswer:
      HandleMembership(received);
      break;
    case message::envelope::kConfigurationRequest:
      if (runtime_.Configuration() != nullptr) {
        message::envelope response;
        response.mutable_configuration_record()->set_record(
            SerializeConfiguration(*runtime_.Configuration()));
        SendTo(received.host(), std::move(response));
      }
      break;
    case message::envelope::kConfigurationRecord:
      ApplyRecord(received.configuration_record().record());
      break;
    case message::envelope::kPrimaryQuery:
      HandlePrimaryQuery(received);
      break;
    case message::envelope::kPrimariesHeard:
      for (const std::string& pool : received.primaries_heard().pools()) {
        runtime_.RecordPrimaryReachable(pool, monotonic_clock::now());
      }
      break;
    case message::envelope::kLimitRequest:
      runtime_.Limits().HandleRequest(received.host(), received.boot(),
                                      received.limit_request());
      break;
    case message::envelope::kShardHandover:
      runtime_.Limits().HandleHandover(received.shard_handover(),
                                       monotonic_clock::now());
      break;
    case message::envelope::kLimitAnswer:
      runtime_.Limits().HandleAnswer(received.limit_answer());
      break;
    case message::envelope::kAdminRequest: {
      message::envelope answer;
      answer.mutable_admin_answer()->set_json(
          received.admin_request().kind() == "dump" ? DumpJson(runtime_)
                                                    : StatusJson(runtime_));
      link_.Reply(route, std::move(answer));
      break;
    }
    default:
      break;
  }
}

asio::awaitable<void> fleet_service::RunTickLoop() {
  while (true) {
    const time_point now = monotonic_clock::now();
    runtime_.Limits().SendDueRequests(now);
    if (now - membership_ticked_at_ >= kMembershipTickInterval) {
      membership_ticked_at_ = now;
      SendMembership(
          AdvanceMembership(runtime_.Fleet(), settings_, now, random_()));
      QueryPrimaries(now);
    }
    const bool active = runtime_.Limits().IsActive(now);
    co_await Sleep(active ? kFastTickInterval : kMembershipTickInterval);
  }
}

template <typename Ping>
void fleet_service::FillUpdates(Ping& ping,
                                const std::vector<member>& updates) const {
  for (const member& known : updates) {
    *ping.add_news() = Encode(known);
  }
  if (runtime_.Configuration() != nullptr) {
    ping.set_configuration_version(runtime_.Configuration()->version);
  }
  const grantor_shards& shards = runtime_.Limits().Shards();
  for (std::uint32_t i = 0; i < kGrantorShardCount; ++i) {
    if (shards[i].epoch > 0) {
      message::shard_grantor& grantor = *ping.add_grantors();
      grantor.set_shard(i);
      grantor.set_epoch(shards[i].epoch);
      grantor.set_host(shards[i].host);
      grantor.set_boot(shards[i].boot);
    }
  }
}

template <typename Ping>
void fleet_service::ApplyUpdates(const Ping& ping, const std::string& from) {
  std::vector<member> updates;
  for (const message::member& encoded : ping.news()) {
    const std::optional<member> decoded = Decode(encoded);
    if (decoded.has_value()) {
      updates.push_back(*decoded);
    }
  }
  MergeUpdates(runtime_.Fleet(), settings_, updates, monotonic_clock::now());
  for (const message::shard_grantor& grantor : ping.grantors()) {
    if (grantor.shard() < kGrantorShardCount) {
      UpdateGrantor(runtime_.Limits().Shards()[grantor.shard()],
                    grantor.epoch(), grantor.host(), grantor.boot());
    }
  }
  RequestNewerVersion(from, ping.configuration_version());
}

void fleet_service::SendMembership(
    const std::vector<membership_message>& messages) {
  for (const membership_message& outgoing : messages) {
    message::envelope envelope;
    if (outgoing.kind == membership_message_kind::kPing) {
      message::ping& ping = *envelope.mutable_ping();
      ping.set_probe(outgoing.probe);
      ping.set_target(outgoing.target);
      FillUpdates(ping, outgoing.news);
    } else {
      message::ping_answer& answer = *envelope.mutable_ping_answer();
      answer.set_probe(outgoing.probe);
      FillUpdates(answer, outgoing.news);
    }
    SendTo(outgoing.to, std::move(envelope));
  }
}

void fleet_service::HandleMembership(const message::envelope& received) {
  const time_point now = monotonic_clock::now();
  if (received.has_ping()) {
    ApplyUpdates(received.ping(), received.host());
    SendMembership(HandlePing(runtime_.Fleet(), settings_, received.host(),
                              received.ping().probe(), received.ping().target(),
                              now));
  } else {
    ApplyUpdates(received.ping_answer(), received.host());
    SendMembership(HandleAnswer(runtime_.Fleet(), settings_, received.host(),
                                received.ping_answer().probe(), now));
  }
}

void fleet_service::AnnounceLeave() {
  const time_point now = monotonic_clock::now();
  AnnounceLeaving(runtime_.Fleet(), settings_, now);
  runtime_.Limits().HandOverShards(now);
  AnnounceVersion();
}

asio::awaitable<void> fleet_service::PollHostList() {
  while (true) {
    const result<std::vector<listed_host>> hosts = co_await FetchHosts(
        runtime_.Settings().platform.host_list, kHostListTimeout);
    if (hosts) {
      std::vector<member> listed;
      for (const listed_host& listed_entry : hosts.value()) {
        member entry;
        entry.host = listed_entry.host;
        entry.availability_zone = listed_entry.availability_zone;
        entry.peers = listed_entry.peers;
        entry.state = listed_entry.leaving ? member_state::kLeaving
                                           : member_state::kAlive;
        listed.push_back(std::move(entry));
      }
      MergeHostList(runtime_.Fleet(), settings_, listed,
                    monotonic_clock::now());
    }
    co_await Sleep(kHostListInterval);
  }
}

bool fleet_service::IsWatcher() const {
  const std::string& zone = runtime_.Settings().availability_zone;
  std::vector<std::string> zone_hosts = LiveHosts(runtime_.Fleet());
  std::erase_if(zone_hosts, [this, &zone](const std::string& host) {
    return runtime_.Fleet().members.at(host).availability_zone != zone;
  });
  const std::vector<std::string> ranked_hosts =
      RendezvousOrder("configuration watchers", std::move(zone_hosts));
  const auto self = std::find(ranked_hosts.begin(), ranked_hosts.end(),
                              runtime_.Settings().host);
  return self - ranked_hosts.begin() <
         static_cast<std::ptrdiff_t>(kWatchersPerZone);
}

asio::awaitable<void> fleet_service::WatchConfiguration() {
  time_point read_at;
  while (true) {
    const time_point now = monotonic_clock::now();
    const bool is_watcher = IsWatcher();
    const bool read_due = runtime_.Configuration() == nullptr ||
                          now - read_at > kUnwatchedReadInterval;
    if (!is_watcher && !read_due) {
      co_await Sleep(kWatcherCheckInterval);
      continue;
    }
    read_at = now;
    result<versioned_configuration> current =
        co_await ReadConfiguration(store_);
    if (!current) {
      Log(log_level::kWarning, "store_unavailable",
          {{"reason", current.error().message}});
      co_await Sleep(kStoreRetryDelay);
      continue;
    }
    runtime_.RecordStoreContact(monotonic_clock::now());
    const std::int64_t revision = current.value().revision;
    if (revision > 0 && runtime_.Apply(std::make_shared<const configuration>(
                            std::move(current.value().value)))) {
      AnnounceVersion();
    }
    if (is_watcher) {
      const result<std::optional<stored_record>> change = co_await store_.Watch(
          std::string(kConfigurationKey), revision + 1, kWatchTimeout);
      if (!change) {
        co_await Sleep(kStoreRetryDelay);
      }
    }
  }
}

void fleet_service::RequestNewerVersion(const std::string& from,
                                        std::uint64_t version) {
  const time_point now = monotonic_clock::now();
  const std::uint64_t known = runtime_.Configuration() == nullptr
                                  ? 0
                                  : runtime_.Configuration()->version;
  const bool already_requested =
      version <= requested_version_ &&
      now - version_requested_at_ < kRecordRequestTimeout;
  if (version <= known || already_requested) {
    return;
  }
  requested_version_ = version;
  version_requested_at_ = now;
  message::envelope request;
  request.mutable_configuration_request();
  SendTo(from, std::move(request));
}

void fleet_service::ApplyRecord(const std::string& record) {
  result<configuration> parsed = ParseConfiguration(record);
  if (parsed && runtime_.Apply(std::make_shared<const configuration>(
                    std::move(parsed.value())))) {
    AnnounceVersion();
  }
}

/// Announces the current configuration version to a few random hosts without
/// waiting for the next ping; they request the record and announce it further.
void fleet_service::AnnounceVersion() {
  std::vector<membership_message> messages;
  for (const std::string& host :
       PickHosts(runtime_.Fleet(), kGossipFanout, random_)) {
    const member& self = runtime_.Fleet().members.at(runtime_.Settings().host);
    messages.push_back({membership_message_kind::kPing, host, 0, "", {self}});
  }
  SendMembership(messages);
}

void fleet_service::QueryPrimaries(time_point now) {
  if (now - primaries_queried_at_ < kPrimaryQueryInterval) {
    return;
  }
  primaries_queried_at_ = now;
  message::envelope request;
  for (const std::pair<const std::string, std::shared_ptr<target_pool>>& entry :
       runtime_.Pools()) {
    const group_state& group = entry.second->Group();
    const std::optional<instance_index> primary = FindPrimary(group);
    if (primary.has_value() &&
        group.instances[*primary].last_contact != contact_result::kAnswered) {
      request.mutable_primary_query()->add_pools(entry.first);
    }
  }
  if (!request.has_primary_query()) {
    return;
  }
  for (const std::string& host :
       PickHosts(runtime_.Fleet(), kGossipFanout, random_)) {
    SendTo(host, request);
  }
}

void fleet_service::HandlePrimaryQuery(const message::envelope& received) {
  message::envelope response;
  for (const std::string& name : received.primary_query().pools()) {
    const std::shared_ptr<target_pool> pool = runtime_.FindPool(name);
    const std::optional<instance_index> primary =
        pool == nullptr ? std::nullopt : FindPrimary(pool->Group());
    if (primary.has_value() && pool->Group().instances[*primary].last_contact ==
                                   contact_result::kAnswered) {
      response.mutable_primaries_heard()->add_pools(name);
    }
  }
  if (response.has_primaries_heard()) {
    SendTo(received.host(), std::move(response));
  }
}

}  // namespace sassafraswick
