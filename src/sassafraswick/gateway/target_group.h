#ifndef SASSAFRASWICK_GATEWAY_TARGET_GROUP_H_
#define SASSAFRASWICK_GATEWAY_TARGET_GROUP_H_

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "sassafraswick/config/catalog.h"
#include "sassafraswick/consistency/commit_proof.h"
#include "sassafraswick/consistency/primary_view.h"
#include "sassafraswick/core/log.h"
#include "sassafraswick/failover/group_members.h"
#include "sassafraswick/failover/replacement_state.h"
#include "sassafraswick/gateway/connection_pool.h"
#include "sassafraswick/gateway/counters.h"
#include "sassafraswick/gateway/settings.h"
#include "sassafraswick/net/async_event.h"
#include "sassafraswick/net/spawn.h"
#include "sassafraswick/routing/choose_target.h"

/// @file
/// One host's view of a database group: its instances, the connections to them,
/// and what their responses prove about the primary.

namespace sassafraswick {

template <session_codec Codec>
class target_group : public std::enable_shared_from_this<target_group<Codec>> {
 public:
  using target_pointer = std::shared_ptr<target_state<Codec>>;
  using connection_pointer = std::shared_ptr<pooled_connection<Codec>>;

  /// @param availability_zone Zone of this host.
  target_group(boost::asio::io_context& context, std::string name,
               std::string availability_zone, gateway_counters& counters)
      : context_(context),
        name_(std::move(name)),
        availability_zone_(std::move(availability_zone)),
        counters_(counters),
        connection_pool_(
            name_, counters,
            {[this](target_state<Codec>& target,
                    const statement_result& response, time_point requested_at) {
               Observe(target, response, requested_at);
             },
             [this](target_state<Codec>& target, time_point requested_at) {
               ObserveNoResponse(target, requested_at);
             }}),
        changed_(context.get_executor()),
        random_(std::random_device()()) {}

  /// Adds an instance, or updates its registered record.
  void Update(const target_record& record) {
    target_pointer target = Find(record.id);
    if (target == nullptr) {
      target = std::make_shared<target_state<Codec>>(context_.get_executor());
      target->BeginProcess(record.id, monotonic_clock::now());
      targets_.push_back(target);
    } else if (target->IsOtherProcess(record)) {
      HandleProcessChange(*target);
    }
    if (record.claims_primary && !target->record.claims_primary) {
      target->claim_order = ++last_claim_order_;
    }
    target->record = record;
    target->health.claims_primary = record.claims_primary;
    target->listed = true;
    target->health.listed = true;
    target->warm_at = monotonic_clock::now() + record.warmup_left;
    if (!record.leaving) {
      target->leaving_since.reset();
    } else if (!target->leaving_since.has_value()) {
      target->leaving_since = monotonic_clock::now();
    }
    ApplyEvacuation(*target);
    if (record.claims_primary && view_.primary != record.id) {
      CheckPrimaryClaim(target);
    }
    changed_.NotifyAll();
  }

  /// Sets the evacuated zones, which must outlive this group.
  void SetEvacuatedZones(const evacuated_zones& zones) {
    evacuated_zones_ = &zones;
    for (const target_pointer& target : targets_) {
      ApplyEvacuation(*target);
    }
    changed_.NotifyAll();
  }

  /// Marks an instance as no longer listed in the store, and closes its idle
  /// connections.
  /// @param missing_since When its entry disappeared.
  void Unlist(const std::string& id, time_point missing_since) {
    const target_pointer target = Find(id);
    if (target != nullptr && target->listed) {
      target->listed = false;
      target->health.listed = false;
      target->health.leaving = true;
      target->unlisted_at = monotonic_clock::now();
      if (!target->leaving_since.has_value()) {
        target->leaving_since = missing_since;
      }
      target->idle.clear();
      changed_.NotifyAll();
    }
  }

  /// Records that an entry names another process at an instance's address.
  /// @param successor Instance that the other process runs.
  void MarkReplaced(const std::string& id, const std::string& successor) {
    const target_pointer target = Find(id);
    if (target != nullptr && target->health.successor != successor) {
      target->health.successor = successor;
      Log(log_level::kInfo, "target_replaced",
          {{"pool", name_}, {"target", id}, {"successor", successor}});
      changed_.NotifyAll();
    }
  }

  /// Sets this host's share of each instance's connection limit.
  void SetBudget(std::uint32_t connections, std::uint32_t hosts) {
    connection_pool_.SetBudget(connections, hosts);
    hosts_ = hosts;
  }

  /// Allows to share connections with other hosts. The arguments must outlive
  /// this group.
  void SetHomes(home_directory& homes, connection_borrower& borrower) {
    connection_pool_.SetHomes(homes, borrower);
  }

  /// Returns whether hosts share the connections to the instances.
  [[nodiscard]] bool IsShared() const { return connection_pool_.IsShared(); }

  /// Number of connections that this host holds as a home of instances.
  [[nodiscard]] std::uint32_t CountAsHome() const {
    std::uint32_t count = 0;
    for (const target_pointer& target : targets_) {
      count += connection_pool_.CountAsHome(*target);
    }
    return count;
  }

  void SetSyncReplicas(std::uint32_t replicas) { sync_replicas_ = replicas; }

  /// Sets the time after which a leaving instance gets no more requests.
  void SetLeaveWithin(duration leave_within) { leave_within_ = leave_within; }
  [[nodiscard]] duration LeaveWithin() const noexcept { return leave_within_; }

  /// Removes instances that have been unlisted for `kUnlistedRetention`, and
  /// closes excess idle connections.
  void Sweep() {
    const time_point now = monotonic_clock::now();
    std::erase_if(targets_, [now](const target_pointer& target) {
      return !target->listed && now - target->unlisted_at > kUnlistedRetention;
    });
    for (const target_pointer& target : targets_) {
      connection_pool_.CloseExcess(*target);
    }
  }

  /// An instance that was chosen for a read.
  struct read_target {
    target_pointer target;
    /// Expected time until it reaches the read's position.
    duration wait = duration::zero();
  };

  /// Chooses an instance for a read.
  /// @param required Log position that the instance must have reached.
  /// @param deadline Latest time at which the read may start.
  /// @param tried Identifiers of instances to exclude.
  /// @param route Class of the read's route.
  /// @return A null target if no instance is usable.
  [[nodiscard]] read_target PickReadTarget(
      const std::string& organisation, log_point required, time_point deadline,
      const std::vector<std::string>& tried, const response_class& route = {}) {
    const time_point now = monotonic_clock::now();
    std::vector<target_pointer> usable;
    std::vector<target_option> options;
    for (const target_pointer& target : targets_) {
      const bool was_tried = std::find(tried.begin(), tried.end(),
                                       target->record.id) != tried.end();
      if (!target->IsUsable() || was_tried) {
        continue;
      }
      usable.push_back(target);
      options.push_back(MakeOption(*target, organisation, route, now));
      target_option& option = options.back();
      if (!option.is_primary) {
        option.wait =
            EstimateCatchUpWait(target->progress, view_, required, now);
      }
      option.avoid = option.avoid || now + option.wait >= deadline;
    }
    const std::optional<std::size_t> chosen = ChooseTarget(options, random_());
    return chosen.has_value()
               ? read_target{usable[*chosen], options[*chosen].wait}
               : read_target();
  }

  /// The primary; while it is unknown, the last instance to claim to be the
  /// primary. A false claim does no harm: an instance that is not the primary
  /// does not run a write.
  [[nodiscard]] target_pointer Primary() const {
    if (!view_.primary.empty()) {
      return Find(view_.primary);
    }
    target_pointer claiming;
    for (const target_pointer& target : targets_) {
      const bool claims = target->listed && target->record.claims_primary;
      if (claims && (claiming == nullptr ||
                     target->claim_order > claiming->claim_order)) {
        claiming = target;
      }
    }
    return claiming;
  }

  /// Leases a connection for an operation.
  boost::asio::awaitable<pooled_connection_lease<Codec>> Acquire(
      const target_pointer& target, const lease_request& request) {
    return connection_pool_.Acquire(target, request);
  }

  /// Leases a connection as a home of the instance.
  boost::asio::awaitable<pooled_connection_lease<Codec>> AcquireAsHome(
      const target_pointer& target, const lease_request& request) {
    return connection_pool_.AcquireAsHome(target, request);
  }

  /// Releases a connection.
  /// @param reusable The target has responded to all requests, and no
  /// transaction is open on the connection.
  void Release(const pooled_connection_lease<Codec>& lease, bool reusable) {
    RecordZoneTraffic(lease);
    connection_pool_.Release(lease, reusable);
  }

  /// Rolls a transaction back in the background, then releases its connection.
  void RollbackAndRelease(pooled_connection_lease<Codec> lease) {
    Spawn(context_, "group",
          [self = this->shared_from_this(), lease = std::move(lease)] {
            return self->connection_pool_.Rollback(lease);
          });
  }

  /// Counts the bytes of a connection to another availability zone.
  void RecordZoneTraffic(const pooled_connection_lease<Codec>& lease) {
    const std::size_t bytes = std::exchange(lease.connection->traffic, 0);
    if (bytes > 0 &&
        lease.target->record.availability_zone != availability_zone_) {
      counters_.between_zones.Record("instance", bytes);
    }
  }

  /// Updates health, term and log position of an instance from a response.
  /// @param requested_at When the statement was sent.
  void Observe(target_state<Codec>& target, const statement_result& response,
               time_point requested_at) {
    target.answered_at = monotonic_clock::now();
    target.health.silent_since.reset();
    target.health.refused_since.reset();
    target.health.replaced = false;
    target.health.successor.clear();
    if (response.failure == failure_code::kBusy) {
      // Overload makes an instance less likely to be chosen. Without it, its
      // load would overload the others.
      target.score.RecordFailure(target.answered_at);
    } else if (response.failure == failure_code::kStatementFailed) {
      ObserveFailure(target);
    }
    if (!response.position.has_value()) {
      return;
    }
    if (response.position->term > view_.term) {
      HandleViewChange(
          RecordNotPrimary(view_, target.record.id, response.position->term));
    }
    if (response.failure == failure_code::kReadOnly) {
      HandleViewChange(RecordNotPrimary(view_, target.record.id, view_.term));
    }
    RecordPosition(view_, target.record.id, *response.position, requested_at);
    RecordProgress(target.progress, view_, *response.position,
                   target.answered_at);
  }

  /// Records a write that the primary acknowledged. With synchronous replicas
  /// the acknowledgement is a proof of leadership, unless an instance may have
  /// confirmed the write that a promoter does not know.
  void ObserveCommit(target_state<Codec>& target,
                     const statement_result& response,
                     time_point requested_at) {
    if (!response.position.has_value()) {
      return;
    }
    ObservePrimary(target, response);
    const term_number term = response.position->term;
    RecordLeading(target, term, requested_at);
    if (sync_replicas_ > 0 && target.record.id == view_.primary &&
        IsCommitProved(replication_, term, monotonic_clock::now())) {
      RecordProof(view_, term, requested_at);
      RecordReplication(replication_, {term, requested_at});
    }
  }

  /// Requests a proof for the acknowledgement of a commit that is about to be
  /// sent, if the newest one will be too old by then.
  void PrepareCommit() {
    const bool is_recent = replication_.has_value() &&
                           monotonic_clock::now() - replication_->requested_at <
                               kCommitProofRenewal;
    if (sync_replicas_ > 0 && !is_recent) {
      RequestReplicationProof();
    }
  }

  /// Waits until an acknowledgement of the primary may be passed on.
  /// @param acknowledged_at When it arrived.
  /// @return False at the deadline, or if a later term has begun.
  boost::asio::awaitable<bool> AwaitCommitProof(term_number term,
                                                time_point acknowledged_at,
                                                time_point deadline) {
    while (sync_replicas_ > 0 &&
           !IsCommitProved(replication_, term, acknowledged_at)) {
      const time_point now = monotonic_clock::now();
      const bool is_replaced =
          replication_.has_value() && replication_->term > term;
      if (is_replaced || now >= deadline) {
        co_return false;
      }
      RequestReplicationProof();
      co_await changed_.Wait(
          std::chrono::duration_cast<duration>(deadline - now));
    }
    co_return true;
  }

  /// Returns the newest position of the primary that is known.
  [[nodiscard]] std::optional<log_point> KnownPosition() const {
    return view_.positions.empty()
               ? std::nullopt
               : std::optional<log_point>(view_.positions.back().position);
  }

  /// Records that the acknowledgement of a commit is passed on to its caller.
  /// @param known_before `KnownPosition` when the commit was sent.
  /// @param term Term of the response.
  void RecordPassedOn(const std::optional<log_point>& known_before,
                      term_number term) {
    const std::optional<log_point> lowest =
        LowestCommitPosition(known_before, term);
    if (sync_replicas_ > 0 && lowest.has_value()) {
      LearnAcknowledged(*lowest);
    }
  }

  /// Records that a commit was acknowledged, by this or another host, which an
  /// instance behind a position lacks.
  void LearnAcknowledged(const log_point& position) {
    if (IsBehind(acknowledged_, position)) {
      acknowledged_ = position;
    }
  }

  /// Returns the most advanced position that was recorded.
  [[nodiscard]] const log_point& Acknowledged() const { return acknowledged_; }

  /// Records a response that only a primary can give.
  void ObservePrimary(const target_state<Codec>& target,
                      const statement_result& response) {
    if (response.position.has_value()) {
      HandleViewChange(
          RecordPrimary(view_, target.record.id, response.position->term));
    }
  }

  /// Updates the instance's average latency, an exponential moving average.
  static void ObserveLatency(target_state<Codec>& target, duration latency) {
    constexpr int kSmoothing = 8;
    target.latency =
        target.latency == duration::zero()
            ? latency
            : (target.latency * (kSmoothing - 1) + latency) / kSmoothing;
  }

  /// Records a statement that an instance has served.
  void ObserveServed(target_state<Codec>& target, const statement_class& kind,
                     duration took) {
    ObserveLatency(target, took);
    const time_point now = monotonic_clock::now();
    target.score.RecordServed(work_.Record(kind, took), now);
    if (kind.needs_primary) {
      target.reserved.Record(took, now);
    }
  }

  /// Marks an instance as unresponsive after a request without a response. If
  /// any connection has received a response since the request was sent, only
  /// the connection of the request is at fault, and the instance is not marked.
  void ObserveNoResponse(target_state<Codec>& target, time_point requested_at) {
    ObserveFailure(target);
    if (target.answered_at > requested_at) {
      return;
    }
    target.avoid_until = monotonic_clock::now() + kFailureBackoff;
    if (!target.health.silent_since.has_value()) {
      target.health.silent_since = requested_at;
    }
  }

  /// Waits until a primary lease covers the reads that an instance has served
  /// so far as the primary of a term, and requests proofs meanwhile.
  /// @return False if the primary or the term changed, or at the deadline.
  boost::asio::awaitable<bool> AwaitPrimaryLease(std::string instance,
                                                 term_number term,
                                                 time_point deadline) {
    while (view_.term == term && view_.primary == instance) {
      const time_point now = monotonic_clock::now();
      if (IsPrimaryLeaseValid(view_, instance, term, now)) {
        co_return true;
      }
      if (now >= deadline) {
        break;
      }
      RequestProof();
      co_await changed_.Wait(
          std::chrono::duration_cast<duration>(deadline - now));
    }
    co_return false;
  }

  /// Starts to look for the primary, unless that is in progress.
  void StartResolvingPrimary() {
    if (resolving_primary_) {
      return;
    }
    resolving_primary_ = true;
    Spawn(context_, "group",
          [self = this->shared_from_this()] { return self->ResolvePrimary(); });
  }

  /// Starts to obtain a proof of leadership, unless that is in progress.
  void RequestProof() {
    wants_leadership_ = true;
    RequestReplicationProof();
  }

  /// Starts to obtain a proof of replication, unless that is in progress. An
  /// acknowledgement of the primary makes it a proof of leadership.
  void RequestReplicationProof() {
    if (requesting_proof_) {
      return;
    }
    requesting_proof_ = true;
    Spawn(context_, "group",
          [self = this->shared_from_this()] { return self->ObtainProof(); });
  }

  /// Sets the function that requests a proof from this group's proof collector.
  /// It returns false if this host has to query the instances itself.
  void SetProofSource(std::function<bool(const std::string& pool)> source) {
    proof_source_ = std::move(source);
  }

  /// Sets the function that returns when the list of instances was last
  /// current. Without it, only connections tell how long a process has run.
  void SetTargetsCurrentAt(std::function<time_point()> current_at) {
    targets_current_at_ = std::move(current_at);
  }

  /// Applies the proof collector's report.
  void ApplyReport(const view_report& report, time_point request_sent_at) {
    RecordReplication(replication_,
                      {report.term, request_sent_at - report.proof_age});
    HandleViewChange(ApplyViewReport(view_, report, request_sent_at));
    if (IsPrimaryLeaseValid(view_, view_.primary, view_.term,
                            monotonic_clock::now())) {
      fruitless_rounds_ = 0;
    }
    changed_.NotifyAll();
  }

  /// Waits for a proof that is recent enough to be passed on to other hosts.
  /// @return Nothing if none was obtained within `kControlTimeout`.
  boost::asio::awaitable<std::optional<view_report>> WaitForShareableProof() {
    const time_point deadline = monotonic_clock::now() + kControlTimeout;
    time_point now = monotonic_clock::now();
    while (now < deadline) {
      const std::optional<view_report> report = MakeViewReport(view_, now);
      if (report.has_value() && report->proof_age < kMaxSharedProofAge) {
        co_return report;
      }
      RequestProof();
      co_await changed_.Wait(
          std::chrono::duration_cast<duration>(deadline - now));
      now = monotonic_clock::now();
    }
    co_return std::nullopt;
  }

  /// Requests an instance's status, and updates its state from the response.
  boost::asio::awaitable<std::optional<instance_status>> RequestStatus(
      target_pointer target) {
    return SendControl(target, control_statement::kStatus, 0);
  }

  /// Asks an instance that has answered nothing since a given time for its
  /// status, and prefers other instances meanwhile. A statement that takes long
  /// is no reason to consider its instance unresponsive.
  void ProbeIfSilent(const target_pointer& target, time_point since) {
    if (target->answered_at < since) {
      target->avoid_until = monotonic_clock::now() + kFailureBackoff;
      RequestStatusInBackground(target);
    }
  }

  /// Requests an instance's status without waiting for the response.
  void RequestStatusInBackground(const target_pointer& target) {
    Spawn(context_, "group",
          [self = this->shared_from_this(),
           target]() -> boost::asio::awaitable<void> {
            co_await self->RequestStatus(target);
          });
  }

  /// Sends a control statement. The response to each contains the instance's
  /// status.
  /// @param may_send Asked once there is a connection, right before the
  /// statement is sent. May be empty.
  /// @return Nothing if there was no connection or no valid response, or if
  /// `may_send` returned false.
  boost::asio::awaitable<std::optional<instance_status>> SendControl(
      target_pointer target, control_statement control, term_number term,
      std::function<bool()> may_send = {}) {
    const time_point requested_at = monotonic_clock::now();
    ++counters_.status_questions;
    const pooled_connection_lease<Codec> lease =
        co_await connection_pool_.AcquireForControl(target);
    if (lease.connection == nullptr) {
      if (lease.failure == failure_code::kNoAnswer) {
        ObserveNoResponse(*target, requested_at);
      }
      co_return std::nullopt;
    }
    if (may_send && !may_send()) {
      Release(lease, true);
      co_return std::nullopt;
    }
    const std::string bytes = Codec::FormatControl(control, term);
    const exchange_outcome outcome =
        co_await lease.connection->Exchange(bytes, 1, kControlTimeout);
    Release(lease, !outcome.results.empty());
    if (outcome.results.empty()) {
      ObserveNoResponse(*target, requested_at);
      co_return std::nullopt;
    }
    Observe(*target, outcome.results.front(), requested_at);
    result<instance_status> status =
        Codec::ParseStatus(outcome.results.front());
    const bool is_of_this_process = requested_at >= target->health.seen_since;
    if (!status || !is_of_this_process) {
      co_return std::nullopt;
    }
    status.value().contact_since = target->contact.since;
    ObserveStatus(*target, status.value(), requested_at);
    co_return status.value();
  }

  /// Health of all instances, for the failover logic.
  [[nodiscard]] group_health Health() const {
    group_health health;
    for (const target_pointer& target : targets_) {
      health.push_back(target->health);
      health.back().has_announced_stop = target->record.leaving;
      health.back().leaving_since =
          target->leaving_since.value_or(time_point());
    }
    return health;
  }

  [[nodiscard]] target_pointer Find(const std::string& id) const {
    const auto found = std::find_if(targets_.begin(), targets_.end(),
                                    [&id](const target_pointer& target) {
                                      return target->record.id == id;
                                    });
    return found == targets_.end() ? nullptr : *found;
  }

  /// Waits for a change of the primary, an instance or the proofs.
  /// @return False if the timeout expired first.
  boost::asio::awaitable<bool> WaitForChange(duration timeout) {
    return changed_.Wait(timeout);
  }

  [[nodiscard]] const primary_view& View() const { return view_; }
  [[nodiscard]] const std::string& Name() const { return name_; }
  [[nodiscard]] const std::vector<target_pointer>& Targets() const {
    return targets_;
  }

 private:
  /// Records a statement that an instance rejected, failed or did not answer.
  void ObserveFailure(target_state<Codec>& target) {
    const time_point now = monotonic_clock::now();
    target.score.RecordFailure(now);
    std::vector<const instance_score*> others;
    for (const target_pointer& other : targets_) {
      if (other.get() != &target && other->IsUsable()) {
        others.push_back(&other->score);
      }
    }
    if (EjectIfOutlier(target.score, others, now)) {
      ++counters_.instances_ejected;
      Log(log_level::kInfo, "instance_ejected",
          {{"pool", name_},
           {"target", target.record.id},
           {"failure_rate", std::to_string(target.score.FailureRate(now))}});
    }
  }

  target_option MakeOption(const target_state<Codec>& target,
                           const std::string& organisation,
                           const response_class& route, time_point now) {
    target_option option;
    option.in_flight = target.busy + target.opening + target.borrowed;
    option.slots = std::max<std::uint32_t>(target.record.slots, 1);
    option.latency = std::chrono::duration_cast<duration>(
        work_.Mean({route, false}) * target.score.Slowness(now));
    option.failure_rate = target.score.FailureRate(now);
    option.failure_cost = route.target_latency;
    option.is_primary = target.record.id == view_.primary;
    option.reserved = target.reserved.Fraction(option.slots, hosts_, now);
    option.is_remote = target.record.availability_zone != availability_zone_;
    option.has_connection =
        IsShared() ||
        std::any_of(target.idle.begin(), target.idle.end(),
                    [&organisation](const connection_pointer& connection) {
                      return connection->Organisation() == organisation;
                    });
    option.connect_time = connection_pool_.ConnectCost();
    option.avoid = now < target.avoid_until || target.IsSuspect(now) ||
                   target.IsCold(now) || !target.score.Admits(now, random_());
    return option;
  }

  /// Forgets what is known of an instance's earlier process. The one that runs
  /// now does not have its log.
  void HandleProcessChange(target_state<Codec>& target) {
    Log(log_level::kInfo, "target_restarted",
        {{"pool", name_}, {"target", target.record.id}});
    target.BeginProcess(target.record.id, monotonic_clock::now());
    target.health.claims_primary = target.record.claims_primary;
    ApplyEvacuation(target);
    HandleViewChange(RecordNotPrimary(view_, target.record.id, view_.term));
  }

  void ApplyEvacuation(target_state<Codec>& target) const {
    target.evacuated_since =
        evacuated_zones_ == nullptr
            ? std::nullopt
            : evacuated_zones_->Since(target.record.availability_zone);
    target.health.leaving = !target.listed || target.record.leaving ||
                            target.evacuated_since.has_value();
  }

  void ObserveStatus(target_state<Codec>& target, const instance_status& status,
                     time_point requested_at) {
    const bool is_newest = !target.health.status.has_value() ||
                           requested_at >= target.health.requested_at;
    if (is_newest && target.health.status.has_value() &&
        IsOtherProcess(*target.health.status, status)) {
      HandleProcessChange(target);
    }
    if (is_newest) {
      target.health.status = status;
      target.health.requested_at = requested_at;
    }
    if (status.is_primary) {
      RecordLeading(target, status.term, requested_at);
      HandleViewChange(RecordPrimary(view_, target.record.id, status.term));
    } else {
      HandleViewChange(RecordNotPrimary(view_, target.record.id, status.term));
    }
  }

  /// Records that an instance led a term when it responded, unless the response
  /// is that of an earlier process.
  static void RecordLeading(target_state<Codec>& target, term_number term,
                            time_point requested_at) {
    if (requested_at >= target.health.seen_since) {
      target.health.led_term = std::max(target.health.led_term, term);
    }
  }

  void HandleViewChange(bool changed) {
    if (!changed) {
      return;
    }
    Log(log_level::kInfo, "primary_view",
        {{"pool", name_},
         {"term", std::to_string(view_.term)},
         {"primary", view_.primary}});
    RecordTerm(replication_, view_.term);
    changed_.NotifyAll();
    if (view_.primary.empty()) {
      StartResolvingPrimary();
    }
  }

  /// Requests a proof from the proof collector, and waits up to
  /// `kMaxCollectorWait` until there is one.
  /// @return False if this host has to query the instances itself.
  boost::asio::awaitable<bool> RequestFromCollector() {
    if (!proof_source_ || !proof_source_(name_)) {
      co_return false;
    }
    const time_point deadline = monotonic_clock::now() + kMaxCollectorWait;
    time_point now = monotonic_clock::now();
    do {
      co_await changed_.Wait(
          std::chrono::duration_cast<duration>(deadline - now));
      now = monotonic_clock::now();
    } while (now < deadline &&
             !IsPrimaryLeaseValid(view_, view_.primary, view_.term, now));
    co_return true;
  }

  /// Queries an instance that has begun to claim to be the primary, until its
  /// status or another response confirms or refutes the claim.
  void CheckPrimaryClaim(target_pointer target) {
    Spawn(context_, "group", [self = this->shared_from_this(), target] {
      return self->PollPrimaryClaim(target);
    });
  }

  boost::asio::awaitable<void> PollPrimaryClaim(target_pointer target) {
    constexpr duration kRetryInterval = std::chrono::milliseconds(60);
    constexpr int kMaxRounds = 40;
    for (int round = 0; round < kMaxRounds; ++round) {
      const bool collector_requested = co_await RequestFromCollector();
      const bool is_done =
          view_.primary == target->record.id || !target->listed;
      if (is_done) {
        break;
      }
      if (collector_requested && round < kCollectorOnlyRounds) {
        co_await Sleep(kRetryInterval);
        continue;
      }
      const std::optional<instance_status> status =
          co_await RequestStatus(target);
      const bool is_resolved =
          status.has_value() || view_.primary == target->record.id;
      if (is_resolved || !target->listed) {
        break;
      }
      co_await Sleep(kRetryInterval);
    }
  }

  /// Looks for the primary: queries the instance that claims to be it and all
  /// instances in alternating rounds, until one reports that it is the primary.
  boost::asio::awaitable<void> ResolvePrimary() {
    constexpr duration kRetryInterval = std::chrono::milliseconds(150);
    constexpr int kMaxRounds = 20;
    for (int round = 0; round < kMaxRounds; ++round) {
      const bool collector_requested = co_await RequestFromCollector();
      if (!view_.primary.empty()) {
        break;
      }
      if (collector_requested && round < kCollectorOnlyRounds) {
        co_await Sleep(kRetryInterval);
        continue;
      }
      const target_pointer claiming = Primary();
      std::vector<target_pointer> candidates = targets_;
      if (claiming != nullptr && round % 2 == 0) {
        candidates.assign(1, claiming);
      }
      for (const target_pointer& target : candidates) {
        if (target->listed) {
          RequestStatusInBackground(target);
        }
      }
      co_await changed_.Wait(kRetryInterval);
      if (!view_.primary.empty()) {
        break;
      }
      co_await Sleep(kRetryInterval);
    }
    resolving_primary_ = false;
  }

  boost::asio::awaitable<void> ObtainProof() {
    const bool collector_requested = co_await RequestFromCollector();
    const bool is_proved = IsPrimaryLeaseValid(view_, view_.primary, view_.term,
                                               monotonic_clock::now());
    if (collector_requested && !is_proved) {
      ++fruitless_rounds_;
    }
    if (collector_requested && fruitless_rounds_ <= kCollectorOnlyRounds) {
      requesting_proof_ = false;
      changed_.NotifyAll();
      co_return;
    }
    const time_point requested_at = monotonic_clock::now();
    const bool wants_leadership = std::exchange(wants_leadership_, false);
    const target_pointer primary = Primary();
    bool replicates = false;
    if (primary != nullptr && wants_leadership) {
      const std::optional<instance_status> status =
          co_await RequestStatus(primary);
      const bool is_primary = status.has_value() && status->is_primary;
      const term_number term = is_primary ? status->term : 0;
      replicates = co_await CheckReplication(primary, term);
      if (is_primary && replicates) {
        RecordProof(view_, term, requested_at);
        RecordReplication(replication_, {term, requested_at});
      }
    } else if (primary != nullptr) {
      const term_number term = view_.term;
      replicates = co_await CheckReplication(primary, term);
      if (replicates) {
        RecordReplication(replication_, {term, requested_at});
      }
    }
    if (!replicates) {
      co_await Sleep(kProofRetryDelay);
    }
    requesting_proof_ = false;
    changed_.NotifyAll();
  }

  /// Returns whether a witness, or every other instance, confirms that it is
  /// not paused in this term, which proves that the group has not been fenced.
  /// True if the group has no replica.
  boost::asio::awaitable<bool> CheckReplication(target_pointer primary,
                                                term_number term) {
    std::vector<target_pointer> others;
    for (const target_pointer& target : targets_) {
      if (target != primary && target->listed && !target->health.replaced) {
        others.push_back(target);
      }
    }
    // Those that were witnesses by their last status may still be.
    std::stable_partition(others.begin(), others.end(),
                          [this](const target_pointer& target) {
                            return target->health.status.has_value() &&
                                   IsWitnessBy(*target, *target->health.status,
                                               monotonic_clock::now());
                          });
    bool all_replicate = true;
    for (const target_pointer& target : others) {
      const time_point seen_since = target->health.seen_since;
      const time_point requested_at = monotonic_clock::now();
      const std::optional<instance_status> status =
          co_await RequestStatus(target);
      const bool replicates = status.has_value() && status->term == term &&
                              status->paused_term == 0 &&
                              target->health.seen_since == seen_since;
      if (replicates && IsWitnessBy(*target, *status, requested_at)) {
        co_return true;
      }
      all_replicate = all_replicate && replicates;
    }
    co_return all_replicate;
  }

  /// Returns whether an instance's status tells whether the group is fenced.
  [[nodiscard]] bool IsWitnessBy(const target_state<Codec>& target,
                                 const instance_status& status,
                                 time_point requested_at) const {
    const time_point list_current_at =
        targets_current_at_ ? targets_current_at_() : time_point();
    return IsWitness(replication_,
                     RunningSince(target.health.seen_since,
                                  status.contact_since, list_current_at),
                     requested_at);
  }

  boost::asio::io_context& context_;
  std::string name_;
  std::string availability_zone_;
  gateway_counters& counters_;
  connection_pool<Codec> connection_pool_;
  primary_view view_;
  std::optional<replication_proof> replication_;
  log_point acknowledged_;
  async_event changed_;
  std::vector<target_pointer> targets_;
  const evacuated_zones* evacuated_zones_ = nullptr;
  std::uint64_t last_claim_order_ = 0;
  std::uint32_t sync_replicas_ = 0;
  duration leave_within_ = kDefaultLeaveWithin;
  /// Hosts of the fleet.
  std::uint32_t hosts_ = 1;
  work_estimates work_;
  std::function<bool(const std::string& pool)> proof_source_;
  std::function<time_point()> targets_current_at_;
  bool resolving_primary_ = false;
  bool requesting_proof_ = false;
  /// The next proof must be one of leadership.
  bool wants_leadership_ = false;
  /// Requests to which the proof collector supplied no proof in time, since its
  /// last one.
  int fruitless_rounds_ = 0;
  std::mt19937_64 random_;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_TARGET_GROUP_H_
