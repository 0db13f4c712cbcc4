#include "sassafraswick/proxy/target_pool.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "sassafraswick/core/log.h"
#include "sassafraswick/failover/group_contract.h"

namespace sassafraswick {
namespace {

namespace asio = boost::asio;

/// Maintenance interval while requests are waiting or running.
constexpr duration kBusyTickInterval = std::chrono::milliseconds(10);
constexpr duration kIdleTickInterval = std::chrono::milliseconds(40);
/// Timeout for connecting to an instance, and for the ROLLBACK of an abandoned
/// transaction.
constexpr duration kConnectTimeout = std::chrono::seconds(1);
constexpr duration kConnectRetryDelay = std::chrono::milliseconds(50);
/// Time without a status response from an instance after which reads sent to it
/// are retried elsewhere.
constexpr duration kUnresponsiveReadTimeout = std::chrono::milliseconds(600);

}  // namespace

target_pool::target_pool(asio::io_context& context, pool definition,
                         pool_environment environment)
    : context_(context),
      definition_(std::move(definition)),
      environment_(std::move(environment)),
      idle_(definition_.targets.size()),
      changed_(context.get_executor()),
      poll_now_(context.get_executor()),
      random_(std::random_device{}()) {
  group_.pool = definition_.name;
  for (const target& configured : definition_.targets) {
    group_.instances.push_back(
        {configured.address, configured.availability_zone, configured.leaving});
  }
  table_.connections.resize(definition_.targets.size());
  failover_.since = monotonic_clock::now();
  ApplyBudgets();
}

void target_pool::Start() {
  const std::shared_ptr<target_pool> self = shared_from_this();
  for (instance_index i = 0; i < group_.instances.size(); ++i) {
    asio::co_spawn(
        context_, [self, i] { return self->WatchInstance(i); }, asio::detached);
  }
  asio::co_spawn(
      context_, [self] { return self->RunMaintenance(); }, asio::detached);
}

void target_pool::Retire() {
  retired_ = true;
  for (std::deque<std::shared_ptr<target_connection>>& connections : idle_) {
    connections.clear();
  }
  for (connection_counts& counts : table_.connections) {
    counts.idle = 0;
  }
  poll_now_.NotifyAll();
}

bool target_pool::Update(const pool& definition) {
  const bool same_instances =
      std::equal(definition.targets.begin(), definition.targets.end(),
                 definition_.targets.begin(), definition_.targets.end(),
                 [](const target& left, const target& right) {
                   return left.address == right.address;
                 });
  const bool same_credentials = definition.user == definition_.user &&
                                definition.password == definition_.password &&
                                definition.database == definition_.database;
  if (!same_instances || !same_credentials) {
    return false;
  }
  definition_ = definition;
  for (instance_index i = 0; i < group_.instances.size(); ++i) {
    group_.instances[i].leaving = definition.targets[i].leaving;
    group_.instances[i].availability_zone =
        definition.targets[i].availability_zone;
  }
  ApplyBudgets();
  DispatchWaiting();
  return true;
}

void target_pool::ApplyBudgets() {
  const time_point now = monotonic_clock::now();
  for (instance_index i = 0; i < table_.connections.size(); ++i) {
    connection_counts& counts = table_.connections[i];
    const std::uint32_t held = counts.idle + counts.busy + counts.opening;
    counts.budget = environment_.budget(definition_, i, held,
                                        WantedConnections(counts, now));
    CloseExcess(i);
  }
}

/// Closes idle connections in excess of the budget.
void target_pool::CloseExcess(instance_index instance) {
  connection_counts& counts = table_.connections[instance];
  while (counts.idle > 0 &&
         counts.idle + counts.busy + counts.opening > counts.budget) {
    idle_[instance].pop_front();
    --counts.idle;
  }
}

bool target_pool::IsDone() const {
  return retired_ && leased_.empty() && waiters_.empty();
}

target_credentials target_pool::Credentials() const {
  return {definition_.user, definition_.password, definition_.database};
}

asio::awaitable<acquire_result> target_pool::Acquire(request_entry request,
                                                     session_number session) {
  const time_point now = monotonic_clock::now();
  request.id = next_request_++;
  request.arrived = now;
  const request_id id = request.id;
  const std::optional<refusal> refused =
      Enqueue(table_, environment_.dispatch, std::move(request), now);
  if (refused.has_value()) {
    ++counts_.refused;
    co_return *refused;
  }
  const std::shared_ptr<waiter> waiting =
      std::make_shared<waiter>(context_.get_executor());
  waiting->session = session;
  waiters_.emplace(id, waiting);
  DispatchWaiting();
  while (!waiting->outcome.has_value()) {
    co_await waiting->completed.Wait(std::chrono::seconds(1));
  }
  co_return std::move(*waiting->outcome);
}

void target_pool::CompleteRequest(request_id id, acquire_result outcome) {
  const auto found = waiters_.find(id);
  if (found == waiters_.end()) {
    return;
  }
  const std::shared_ptr<waiter> waiting = found->second;
  waiters_.erase(found);
  waiting->outcome = std::move(outcome);
  waiting->completed.NotifyAll();
}

void target_pool::DispatchWaiting() {
  if (dispatching_) {
    dispatch_again_ = true;
    return;
  }
  dispatching_ = true;
  do {
    dispatch_again_ = false;
    const dispatch_plan plan =
        Dispatch(table_, group_, environment_.dispatch, monotonic_clock::now());
    for (const assignment& assigned : plan.assignments) {
      Assign(assigned);
    }
    for (const refusal& refused : plan.refusals) {
      ++counts_.refused;
      CompleteRequest(refused.request, refused);
    }
    const std::shared_ptr<target_pool> self = shared_from_this();
    for (const instance_index instance : plan.connects) {
      asio::co_spawn(
          context_, [self, instance] { return self->OpenConnection(instance); },
          asio::detached);
    }
  } while (dispatch_again_);
  dispatching_ = false;
}

/// Removes an idle connection from the pool. Prefers one that carries the
/// session's state, else the one that has been idle longest: its last session
/// is the least likely to need it again.
std::shared_ptr<target_connection> target_pool::TakeIdle(
    instance_index instance, session_number session) {
  std::deque<std::shared_ptr<target_connection>>& connections = idle_[instance];
  auto chosen = std::find_if(
      connections.begin(), connections.end(),
      [session](const std::shared_ptr<target_connection>& connection) {
        return connection->carried_state.owner == session;
      });
  if (chosen == connections.end()) {
    chosen = connections.begin();
  }
  std::shared_ptr<target_connection> taken = *chosen;
  connections.erase(chosen);
  return taken;
}

void target_pool::Assign(const assignment& assigned) {
  const auto waiting = waiters_.find(assigned.request);
  const session_number session =
      waiting == waiters_.end() ? 0 : waiting->second->session;
  connection_lease lease;
  lease.connection = TakeIdle(assigned.instance, session);
  lease.term = CurrentTerm(group_);
  lease.on_primary = FindPrimary(group_) == assigned.instance;
  lease.connection->leased_at = monotonic_clock::now();
  leased_[lease.connection.get()] = lease;
  CompleteRequest(assigned.request, lease);
}

void target_pool::Release(const connection_lease& lease, bool reusable) {
  const instance_index instance = lease.connection->Instance();
  leased_.erase(lease.connection.get());
  connection_counts& counts = table_.connections[instance];
  --counts.busy;
  const bool keep = reusable && !retired_ &&
                    lease.connection->Socket().is_open() &&
                    counts.idle + counts.busy < counts.budget;
  if (keep) {
    RecordServiceTime(
        table_, std::chrono::duration_cast<duration>(
                    monotonic_clock::now() - lease.connection->leased_at));
    idle_[instance].push_back(lease.connection);
    ++counts.idle;
  } else {
    lease.connection->Close();
  }
  DispatchWaiting();
}

void target_pool::RollbackAndRelease(connection_lease lease) {
  const std::shared_ptr<target_pool> self = shared_from_this();
  asio::co_spawn(
      context_,
      [self, lease = std::move(lease)] {
        return self->RollbackTransaction(lease);
      },
      asio::detached);
}

asio::awaitable<void> target_pool::RollbackTransaction(connection_lease lease) {
  const result<std::string> response =
      co_await lease.connection->QueryValue("ROLLBACK", kConnectTimeout);
  // A successful ROLLBACK returns no row, which QueryValue reports as
  // kProtocol.
  const bool rolled_back =
      !response && response.error().kind == error_kind::kProtocol;
  Release(lease, rolled_back);
}

asio::awaitable<void> target_pool::OpenConnection(instance_index instance) {
  const result<std::shared_ptr<target_connection>> opened =
      co_await target_connection::Open(group_.instances[instance].address,
                                       instance, Credentials(),
                                       kConnectTimeout);
  connection_counts& counts = table_.connections[instance];
  --counts.opening;
  if (opened && !retired_) {
    ++counts.idle;
    idle_[instance].push_back(opened.value());
  } else if (!opened) {
    counts.retry_at = monotonic_clock::now() + kConnectRetryDelay;
    Log(log_level::kWarning, "target_connect_failed",
        {{"pool", group_.pool},
         {"target", FormatEndpoint(group_.instances[instance].address)},
         {"reason", opened.error().message}});
  }
  DispatchWaiting();
}

asio::awaitable<durability> target_pool::AwaitDurable(term_number term,
                                                      log_point write_end,
                                                      time_point deadline) {
  const auto is_durable = [this, term, write_end] {
    return DurablePosition(group_, term) >= write_end.position &&
           MayAcknowledge(term);
  };
  ++pending_acknowledgements_;
  poll_now_.NotifyAll();
  durability outcome = durability::kUnknown;
  while (CurrentTerm(group_) == term) {
    if (is_durable()) {
      outcome = durability::kDurable;
      break;
    }
    const time_point now = monotonic_clock::now();
    if (now >= deadline) {
      break;
    }
    co_await changed_.Wait(
        std::chrono::duration_cast<duration>(deadline - now));
  }
  --pending_acknowledgements_;
  co_return outcome;
}

bool target_pool::MayAcknowledge(term_number term) const {
  return CurrentTerm(group_) == term &&
         monotonic_clock::now() <
             PrimaryLeaseExpiry(group_, term,
                                environment_.failover.primary_lease_duration);
}

void target_pool::RecordPosition(instance_index instance, log_point position) {
  std::optional<instance_report>& report = group_.instances[instance].report;
  const bool advances = report.has_value() &&
                        report->log_end.term == position.term &&
                        position.position > report->applied;
  if (advances) {
    report->applied = position.position;
  }
}

void target_pool::OnGroupChanged() {
  const term_number term = CurrentTerm(group_);
  if (term != last_logged_term_) {
    Log(log_level::kInfo, "group_term",
        {{"pool", group_.pool}, {"term", std::to_string(term)}});
    last_logged_term_ = term;
  }
  CloseUnusable();
  changed_.NotifyAll();
  DispatchWaiting();
}

/// Closes leased connections whose response can no longer be used: those to a
/// replaced primary, and reads on an unresponsive instance.
void target_pool::CloseUnusable() {
  const term_number term = CurrentTerm(group_);
  const time_point now = monotonic_clock::now();
  for (const std::pair<target_connection* const, connection_lease>& entry :
       leased_) {
    const connection_lease& lease = entry.second;
    const instance_entry& instance =
        group_.instances[lease.connection->Instance()];
    const bool replaced = lease.on_primary && lease.term < term;
    const bool unresponsive =
        !lease.on_primary &&
        instance.last_contact != contact_result::kAnswered &&
        now - instance.answered_at > kUnresponsiveReadTimeout;
    if (replaced || unresponsive) {
      lease.connection->Close();
    }
  }
}

asio::awaitable<void> target_pool::RunMaintenance() {
  const std::shared_ptr<target_pool> self = shared_from_this();
  while (!IsDone()) {
    const std::vector<failover_command> commands = AdvanceFailover(
        failover_, group_, environment_.failover,
        environment_.peers(group_.pool), monotonic_clock::now(), random_());
    for (const failover_command& command : commands) {
      asio::co_spawn(
          context_, [self, command] { return self->RunCommand(command); },
          asio::detached);
    }
    CloseUnusable();
    ApplyBudgets();
    DispatchWaiting();
    const bool busy = table_.waiting_count > 0 || !leased_.empty();
    co_await Sleep(busy ? kBusyTickInterval : kIdleTickInterval);
  }
}

}  // namespace sassafraswick
