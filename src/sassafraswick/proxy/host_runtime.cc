#include "sassafraswick/proxy/host_runtime.h"

#include <algorithm>

#include "sassafraswick/core/log.h"
#include "sassafraswick/limits/capacity_grant.h"
#include "sassafraswick/proxy/caller_session.h"
#include "sassafraswick/routing/rendezvous.h"

namespace sassafraswick {
namespace {

/// Time without contact with either the store or a majority of the fleet after
/// which a host stops serving.
constexpr duration kIsolationTimeout = std::chrono::seconds(10);

member OwnMember(const daemon_settings& settings, std::uint64_t boot) {
  member self;
  self.host = settings.host;
  self.availability_zone = settings.availability_zone;
  self.peers = settings.peers;
  self.boot = boot;
  return self;
}

/// Returns the number of connections to one instance that each host gets if
/// they are divided equally.
std::uint32_t EqualConnectionShare(const pool& definition,
                                   std::size_t host_count) {
  const std::uint32_t hosts =
      static_cast<std::uint32_t>(std::max<std::size_t>(host_count, 1));
  const std::uint32_t grantable =
      GrantableConnections(definition.connections, hosts);
  return std::max<std::uint32_t>(grantable / hosts, 1);
}

}  // namespace

host_runtime::host_runtime(
    boost::asio::io_context& context, daemon_settings settings,
    std::uint64_t boot,
    std::function<void(const std::string&, message::envelope)> send)
    : context_(context),
      settings_(std::move(settings)),
      tokens_(settings_.fleet_secret),
      fleet_(MakeMembership(OwnMember(settings_, boot))),
      limits_(context, {[this] { return configuration_.get(); },
                        [this]() -> const membership& { return fleet_; },
                        std::move(send), settings_.host, boot}),
      last_contact_at_(monotonic_clock::now()),
      bounds_(DeriveCallerBounds(settings_.limits, DescriptorLimit())),
      held_(bounds_.max_held_bytes) {}

void host_runtime::CloseExcess() {
  std::optional<memory_budget::holder_id> excess = held_.FindExcess();
  while (excess.has_value()) {
    held_.Remove(*excess);
    const auto found = sessions_.find(*excess);
    const std::shared_ptr<caller_session> session =
        found == sessions_.end() ? nullptr : found->second.lock();
    if (session != nullptr) {
      ++metrics_.sessions_closed_for_memory;
      session->CloseForLimit("memory");
    }
    excess = held_.FindExcess();
  }
}

bool host_runtime::IsIsolated(time_point now) const {
  return now - last_contact_at_ > kIsolationTimeout;
}

result<void> host_runtime::LoadTls() {
  if (settings_.tls_certificate.empty() || settings_.tls_key.empty()) {
    return boost::outcome_v2::success();
  }
  tls_.emplace(boost::asio::ssl::context::tls_server);
  boost::system::error_code failure;
  tls_->use_certificate_chain_file(settings_.tls_certificate, failure);
  if (!failure) {
    tls_->use_private_key_file(settings_.tls_key,
                               boost::asio::ssl::context::pem, failure);
  }
  if (failure) {
    return MakeError(error_kind::kInvalidSetting,
                     "tls.certificate or tls.key: " + failure.message());
  }
  return boost::outcome_v2::success();
}

bool host_runtime::Apply(std::shared_ptr<const configuration> candidate) {
  if (configuration_ != nullptr &&
      candidate->version <= configuration_->version) {
    return false;
  }
  configuration_ = std::move(candidate);
  Log(log_level::kInfo, "configuration_applied",
      {{"version", std::to_string(configuration_->version)},
       {"change_id", configuration_->change_id}});
  UpdatePools();
  const std::unordered_map<session_number, std::weak_ptr<caller_session>>
      sessions = sessions_;
  for (const std::pair<const session_number, std::weak_ptr<caller_session>>&
           entry : sessions) {
    if (const std::shared_ptr<caller_session> session = entry.second.lock()) {
      session->CheckAdmission(*configuration_);
    }
  }
  return true;
}

void host_runtime::UpdatePools() {
  for (const std::pair<const std::string, pool>& entry :
       configuration_->tables.pools) {
    std::shared_ptr<target_pool>& running = pools_[entry.first];
    if (running != nullptr && running->Update(entry.second)) {
      continue;
    }
    if (running != nullptr) {
      running->Retire();
    }
    running = std::make_shared<target_pool>(context_, entry.second,
                                            MakeEnvironment());
    running->Start();
  }
  std::erase_if(pools_,
                [this](const std::pair<const std::string,
                                       std::shared_ptr<target_pool>>& entry) {
                  const bool removed =
                      !configuration_->tables.pools.contains(entry.first);
                  if (removed) {
                    entry.second->Retire();
                  }
                  return removed;
                });
}

pool_environment host_runtime::MakeEnvironment() {
  pool_environment environment;
  environment.dispatch.availability_zone = settings_.availability_zone;
  environment.dispatch.primary_lease_duration =
      environment.failover.primary_lease_duration;
  environment.budget = [this](const pool& definition, instance_index instance,
                              std::uint32_t held, std::uint32_t wanted) {
    return limits_.UpdateConnections(
        definition.name + "/" + std::to_string(instance), held, wanted,
        EqualConnectionShare(definition, LiveHosts(fleet_).size()));
  };
  environment.peers = [this](const std::string& pool) {
    const std::vector<std::string> ranked_hosts =
        RendezvousOrder(pool, LiveHosts(fleet_));
    const auto self =
        std::find(ranked_hosts.begin(), ranked_hosts.end(), settings_.host);
    const auto reachable_at = primary_reachable_at_.find(pool);
    peer_view view;
    view.rank = static_cast<std::uint32_t>(self - ranked_hosts.begin());
    view.primary_reachable = reachable_at != primary_reachable_at_.end() &&
                             monotonic_clock::now() - reachable_at->second <
                                 failover_settings().silent_after;
    return view;
  };
  return environment;
}

std::shared_ptr<target_pool> host_runtime::FindPool(
    std::string_view name) const {
  const auto found = pools_.find(name);
  return found == pools_.end() ? nullptr : found->second;
}

session_number host_runtime::Register(
    const std::shared_ptr<caller_session>& session) {
  const session_number id = next_session_++;
  sessions_[id] = session;
  return id;
}

void host_runtime::Unregister(session_number id) {
  held_.Remove(id);
  sessions_.erase(id);
}

void host_runtime::Drain() {
  draining_ = true;
  const std::unordered_map<session_number, std::weak_ptr<caller_session>>
      sessions = sessions_;
  for (const std::pair<const session_number, std::weak_ptr<caller_session>>&
           entry : sessions) {
    if (const std::shared_ptr<caller_session> session = entry.second.lock()) {
      session->CloseWhenIdle();
    }
  }
}

void host_runtime::CheckSessionTimeouts() {
  const time_point now = monotonic_clock::now();
  if (SeesMajority(fleet_)) {
    last_contact_at_ = now;
  }
  const std::unordered_map<session_number, std::weak_ptr<caller_session>>
      sessions = sessions_;
  for (const std::pair<const session_number, std::weak_ptr<caller_session>>&
           entry : sessions) {
    if (const std::shared_ptr<caller_session> session = entry.second.lock()) {
      session->CheckTimeouts(now, IsIsolated(now));
    }
  }
}

}  // namespace sassafraswick
