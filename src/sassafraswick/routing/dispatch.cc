#include "sassafraswick/routing/dispatch.h"

#include <algorithm>
#include <limits>
#include <set>

namespace sassafraswick {
namespace {

/// Maximum number of an organisation's requests that a pass examines if the
/// first ones cannot be assigned.
constexpr std::size_t kMaxScannedRequests = 64;
/// The weight of a new sample in the smoothed service time is the reciprocal of
/// this number.
constexpr int kSampleWeightDivisor = 16;
/// Time for which a peak determines the number of connections to hold.
constexpr duration kPeakUseRetention = std::chrono::seconds(3);

/// State of one dispatch pass.
struct dispatch_pass {
  dispatch_table& table;
  const group_state& group;
  const dispatch_settings& settings;
  time_point now;
  std::optional<instance_index> primary;
  dispatch_plan plan;
  /// Number of requests without an idle connection, by candidate instance.
  std::vector<std::uint32_t> unmet_demand;
};

std::uint32_t TotalBudget(const dispatch_table& table) {
  std::uint32_t total = 0;
  for (const connection_counts& counts : table.connections) {
    total += counts.budget;
  }
  return std::max<std::uint32_t>(total, 1);
}

std::uint32_t Load(const connection_counts& counts) {
  return counts.busy + counts.opening;
}

/// Selects the least loaded instance with an idle connection. Among equally
/// loaded ones, an instance in this host's availability zone is preferred.
std::optional<instance_index> PickIdle(
    const dispatch_pass& pass, const std::vector<instance_index>& candidates) {
  std::optional<instance_index> best;
  const auto rank = [&pass](instance_index i) {
    const bool remote = pass.group.instances[i].availability_zone !=
                        pass.settings.availability_zone;
    return std::pair<std::uint32_t, bool>(Load(pass.table.connections[i]),
                                          remote);
  };
  for (const instance_index i : candidates) {
    if (pass.table.connections[i].idle > 0 &&
        (!best.has_value() || rank(i) < rank(*best))) {
      best = i;
    }
  }
  return best;
}

/// Returns the instances that may serve a request now. Empty while a read waits
/// for a replica to catch up.
std::vector<instance_index> Candidates(const dispatch_pass& pass,
                                       const request_entry& request) {
  std::vector<instance_index> candidates;
  const bool replica_allowed = request.access == access_kind::kRead &&
                               !request.needs_primary &&
                               AllowsReplica(request.requirement);
  if (replica_allowed) {
    candidates = FreshReplicas(pass.group, request.requirement,
                               pass.settings.primary_lease_duration, pass.now);
    const bool may_wait =
        pass.now < request.arrived + pass.settings.freshness_wait;
    if (!candidates.empty() || may_wait) {
      return candidates;
    }
  }
  if (pass.primary.has_value()) {
    candidates.push_back(*pass.primary);
  }
  return candidates;
}

bool IsHistoryLost(const dispatch_pass& pass, const request_entry& request) {
  return request.requirement.min_point.has_value() &&
         IsDiscarded(*request.requirement.min_point, KnownHistory(pass.group));
}

/// Tries to assign one request; refuses it if it can no longer be served.
/// @return True if the request leaves the queue.
bool TryPlace(dispatch_pass& pass, const request_entry& request) {
  if (pass.now >= request.deadline) {
    pass.plan.refusals.push_back(
        {request.id, refusal_reason::kNoInstance, pass.table.service_time});
    return true;
  }
  if (IsHistoryLost(pass, request)) {
    pass.plan.refusals.push_back(
        {request.id, refusal_reason::kHistoryLost, duration::zero()});
    return true;
  }
  const std::vector<instance_index> candidates = Candidates(pass, request);
  const std::optional<instance_index> chosen = PickIdle(pass, candidates);
  if (chosen.has_value()) {
    connection_counts& counts = pass.table.connections[*chosen];
    --counts.idle;
    ++counts.busy;
    pass.plan.assignments.push_back({request.id, *chosen});
    pass.table.scheduler.Charge(request.organisation, request.weight);
    return true;
  }
  for (const instance_index i : candidates) {
    ++pass.unmet_demand[i];
  }
  return false;
}

/// Assigns or refuses at most one request of an organisation.
/// @param priority Priority of the request.
/// @return True if a request left the queue.
bool PlaceNext(dispatch_pass& pass, std::deque<request_entry>& queue,
               std::uint32_t priority) {
  std::size_t examined = 0;
  for (std::size_t i = 0; i < queue.size() && examined < kMaxScannedRequests;
       ++i) {
    if (queue[i].priority != priority) {
      continue;
    }
    ++examined;
    if (TryPlace(pass, queue[i])) {
      queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(i));
      --pass.table.waiting_count;
      return true;
    }
  }
  return false;
}

std::vector<std::string> WaitingOrganisations(const dispatch_table& table) {
  std::vector<std::string> names;
  for (const std::pair<const std::string, std::deque<request_entry>>& entry :
       table.waiting) {
    if (!entry.second.empty()) {
      names.push_back(entry.first);
    }
  }
  return names;
}

/// Returns the priorities of all waiting requests, the most urgent first.
std::set<std::uint32_t> WaitingPriorities(const dispatch_table& table) {
  std::set<std::uint32_t> priorities;
  for (const std::pair<const std::string, std::deque<request_entry>>& entry :
       table.waiting) {
    for (const request_entry& request : entry.second) {
      priorities.insert(request.priority);
    }
  }
  return priorities;
}

/// Assigns requests of one priority until no organisation makes progress.
void PlacePriority(dispatch_pass& pass, std::uint32_t priority) {
  std::vector<std::string> waiting = WaitingOrganisations(pass.table);
  while (!waiting.empty()) {
    std::vector<std::string> progressed;
    for (const std::string& name : pass.table.scheduler.ServiceOrder(waiting)) {
      std::deque<request_entry>& queue = pass.table.waiting[name];
      if (PlaceNext(pass, queue, priority) && !queue.empty()) {
        progressed.push_back(name);
      }
    }
    waiting = std::move(progressed);
  }
}

void PlanConnects(dispatch_pass& pass) {
  for (instance_index i = 0; i < pass.table.connections.size(); ++i) {
    connection_counts& counts = pass.table.connections[i];
    counts.unmet_demand = pass.unmet_demand[i];
    while (pass.unmet_demand[i] > counts.opening &&
           pass.now >= counts.retry_at &&
           counts.idle + counts.busy + counts.opening < counts.budget) {
      ++counts.opening;
      pass.plan.connects.push_back(i);
    }
  }
}

}  // namespace

std::optional<refusal> Enqueue(dispatch_table& table,
                               const dispatch_settings& settings,
                               request_entry request, time_point now) {
  std::deque<request_entry>& queue = table.waiting[request.organisation];
  const std::size_t competing = WaitingOrganisations(table).size();
  const std::int64_t own_ahead = std::count_if(
      queue.begin(), queue.end(), [&request](const request_entry& waiting) {
        return waiting.priority <= request.priority;
      });
  const std::int64_t ahead =
      own_ahead *
      static_cast<std::int64_t>(std::max<std::size_t>(competing, 1));
  const duration expected = table.service_time * ahead / TotalBudget(table);
  if (queue.size() >= settings.queue_limit ||
      now + expected > request.deadline) {
    return refusal{request.id, refusal_reason::kOverloaded, expected};
  }
  queue.push_back(std::move(request));
  ++table.waiting_count;
  return std::nullopt;
}

dispatch_plan Dispatch(dispatch_table& table, const group_state& group,
                       const dispatch_settings& settings, time_point now) {
  dispatch_pass pass{
      table,
      group,
      settings,
      now,
      PrimaryWithValidLease(group, settings.primary_lease_duration, now),
      {},
      std::vector<std::uint32_t>(table.connections.size(), 0)};
  for (const std::uint32_t priority : WaitingPriorities(table)) {
    PlacePriority(pass, priority);
  }
  std::erase_if(
      table.waiting,
      [](const std::pair<const std::string, std::deque<request_entry>>& entry) {
        return entry.second.empty();
      });
  PlanConnects(pass);
  return std::move(pass.plan);
}

bool CancelRequest(dispatch_table& table, const std::string& organisation,
                   request_id id) {
  const auto found = table.waiting.find(organisation);
  if (found == table.waiting.end()) {
    return false;
  }
  const std::size_t erased = std::erase_if(
      found->second,
      [id](const request_entry& request) { return request.id == id; });
  table.waiting_count -= erased;
  return erased > 0;
}

std::uint32_t WantedConnections(connection_counts& counts, time_point now) {
  const std::uint32_t needed =
      counts.busy + counts.opening + counts.unmet_demand;
  if (needed >= counts.peak_use ||
      now - counts.peak_use_at > kPeakUseRetention) {
    counts.peak_use = needed;
    counts.peak_use_at = now;
  }
  return counts.peak_use;
}

void RecordServiceTime(dispatch_table& table, duration busy) {
  table.service_time =
      (table.service_time * (kSampleWeightDivisor - 1) + busy) /
      kSampleWeightDivisor;
}

}  // namespace sassafraswick
