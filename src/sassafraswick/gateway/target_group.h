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
#include "sassafraswick/consistency/primary_view.h"
#include "sassafraswick/core/log.h"
#include "sassafraswick/failover/replacement.h"
#include "sassafraswick/gateway/counters.h"
#include "sassafraswick/gateway/link_pool.h"
#include "sassafraswick/net/async_event.h"
#include "sassafraswick/net/spawn.h"
#include "sassafraswick/routing/choose_target.h"

/// @file
/// One database group at one host: its instances, the connections to them and
/// what their answers prove.

namespace sassafraswick {

template <session_codec Codec>
class target_group : public std::enable_shared_from_this<target_group<Codec>> {
 public:
  using slot_pointer = std::shared_ptr<target_slot<Codec>>;
  using link_pointer = std::shared_ptr<target_link<Codec>>;

  /// @param availability_zone Where this host stands.
  target_group(boost::asio::io_context& context, std::string name,
               std::string availability_zone, gateway_counters& counters)
      : context_(context),
        name_(std::move(name)),
        availability_zone_(std::move(availability_zone)),
        counters_(counters),
        links_(name_, counters,
               {[this](target_slot<Codec>& slot, const statement_result& answer,
                       time_point requested_at) {
                  Observe(slot, answer, requested_at);
                },
                [this](target_slot<Codec>& slot, time_point requested_at) {
                  ObserveSilence(slot, requested_at);
                }}),
        changed_(context.get_executor()),
        random_(std::random_device()()) {}

  /// Adds an instance or takes over what it says of itself now.
  void Update(const target_record& record) {
    slot_pointer slot = Find(record.id);
    if (slot == nullptr) {
      slot = std::make_shared<target_slot<Codec>>(context_.get_executor());
      slot->health.id = record.id;
      slots_.push_back(slot);
    }
    if (record.claims_primary && !slot->record.claims_primary) {
      slot->claim = ++last_claim_;
    }
    slot->record = record;
    slot->listed = true;
    slot->health.leaving = record.leaving;
    if (record.claims_primary && view_.primary != record.id) {
      Check(slot);
    }
    changed_.NotifyAll();
  }

  /// Notes that an instance is no longer listed.
  void Unlist(const std::string& id) {
    const slot_pointer slot = Find(id);
    if (slot != nullptr && slot->listed) {
      slot->listed = false;
      slot->health.leaving = true;
      slot->unlisted_at = monotonic_clock::now();
      slot->idle.clear();
      changed_.NotifyAll();
    }
  }

  /// Sets what one host may hold of each instance's connections.
  void SetBudget(std::uint32_t connections, std::uint32_t hosts) {
    links_.SetBudget(connections, hosts);
  }

  void SetSyncReplicas(std::uint32_t replicas) { sync_replicas_ = replicas; }

  /// Forgets instances that left and closes connections that rest too long.
  void Sweep() {
    const time_point now = monotonic_clock::now();
    std::erase_if(slots_, [now](const slot_pointer& slot) {
      return !slot->listed && now - slot->unlisted_at > kForgetAfter;
    });
    for (const slot_pointer& slot : slots_) {
      links_.CloseSpare(*slot);
    }
  }

  /// An instance for a read.
  struct reader {
    slot_pointer slot;
    /// Time until it should show the read's position.
    duration wait = duration::zero();
  };

  /// Picks an instance for a read among those that may serve it.
  /// @param wanted Position that the instance must show.
  /// @param limit Latest moment at which it may begin.
  /// @param tried Identifiers to leave out.
  [[nodiscard]] reader PickReader(const std::string& organisation,
                                  log_point wanted, time_point limit,
                                  const std::vector<std::string>& tried) {
    const time_point now = monotonic_clock::now();
    std::vector<slot_pointer> usable;
    std::vector<target_option> options;
    for (const slot_pointer& slot : slots_) {
      const bool was_tried =
          std::find(tried.begin(), tried.end(), slot->record.id) != tried.end();
      if (!slot->IsUsable() || was_tried) {
        continue;
      }
      usable.push_back(slot);
      options.push_back(Option(*slot, organisation, now));
      target_option& option = options.back();
      if (!option.is_primary) {
        option.wait = EstimateCatchUpWait(slot->progress, view_, wanted, now);
      }
      option.avoid = option.avoid || now + option.wait >= limit;
    }
    const std::optional<std::size_t> chosen = ChooseTarget(options, random_());
    return chosen.has_value() ? reader{usable[*chosen], options[*chosen].wait}
                              : reader();
  }

  /// The instance that leads, or while that is not known, the last one that
  /// began to claim it. A write proves the claim or is not run.
  [[nodiscard]] slot_pointer Primary() const {
    if (!view_.primary.empty()) {
      return Find(view_.primary);
    }
    slot_pointer claiming;
    for (const slot_pointer& slot : slots_) {
      const bool claims = slot->listed && slot->record.claims_primary;
      if (claims && (claiming == nullptr || slot->claim > claiming->claim)) {
        claiming = slot;
      }
    }
    return claiming;
  }

  /// Gets a connection for an organisation.
  /// @param limit Longest wait for a connection to be free.
  boost::asio::awaitable<link_lease<Codec>> Acquire(
      const slot_pointer& slot, const std::string& organisation,
      session_number session, time_point limit) {
    return links_.Acquire(slot, organisation, session, limit);
  }

  /// Gives a connection back.
  /// @param reusable The target has answered everything and is at rest.
  void Release(const link_lease<Codec>& lease, bool reusable) {
    links_.Release(lease, reusable);
  }

  /// Ends a transaction in the background and gives the connection back.
  void RollbackAndRelease(link_lease<Codec> lease) {
    Spawn(context_, "group",
          [self = this->shared_from_this(), lease = std::move(lease)] {
            return self->links_.Rollback(lease);
          });
  }

  /// Takes over what an answer shows of an instance.
  /// @param requested_at When the statement was sent.
  void Observe(target_slot<Codec>& slot, const statement_result& answer,
               time_point requested_at) {
    slot.answered_at = monotonic_clock::now();
    slot.health.silent_since.reset();
    slot.health.refused_since.reset();
    if (!answer.position.has_value()) {
      return;
    }
    if (answer.position->term > view_.term) {
      NoteChange(
          RecordNotPrimary(view_, slot.record.id, answer.position->term));
    }
    if (answer.failure == failure_code::kReadOnly) {
      NoteChange(RecordNotPrimary(view_, slot.record.id, view_.term));
    }
    RecordPosition(view_, slot.record.id, *answer.position, requested_at);
    RecordProgress(slot.progress, view_, *answer.position, slot.answered_at);
  }

  /// Notes a write that was acknowledged by the primary.
  void ObserveCommit(const target_slot<Codec>& slot,
                     const statement_result& answer, time_point requested_at) {
    if (!answer.position.has_value()) {
      return;
    }
    ObserveLeader(slot, answer);
    if (sync_replicas_ > 0 && slot.record.id == view_.primary) {
      RecordProof(view_, answer.position->term, requested_at);
    }
  }

  /// Notes that an instance did what only a primary does.
  void ObserveLeader(const target_slot<Codec>& slot,
                     const statement_result& answer) {
    if (answer.position.has_value()) {
      NoteChange(RecordPrimary(view_, slot.record.id, answer.position->term));
    }
  }

  /// Notes how long an instance took.
  static void ObserveLatency(target_slot<Codec>& slot, duration latency) {
    constexpr int kSmoothing = 8;
    slot.latency =
        slot.latency == duration::zero()
            ? latency
            : (slot.latency * (kSmoothing - 1) + latency) / kSmoothing;
  }

  /// Notes that an instance gave no answer. One connection that went dark
  /// proves nothing while others are answered.
  void ObserveSilence(target_slot<Codec>& slot, time_point requested_at) {
    if (slot.answered_at > requested_at) {
      return;
    }
    slot.avoid_until = monotonic_clock::now() + kAvoidTime;
    if (!slot.health.silent_since.has_value()) {
      slot.health.silent_since = requested_at;
    }
  }

  /// Tells whether reads that an instance answered by now as the primary of a
  /// term hold. If it is not known, asks.
  boost::asio::awaitable<bool> AwaitPermit(std::string instance,
                                           term_number term, time_point limit) {
    while (view_.term == term && view_.primary == instance) {
      const time_point now = monotonic_clock::now();
      if (IsPrimaryLeaseValid(view_, instance, term, now)) {
        co_return true;
      }
      if (now >= limit) {
        break;
      }
      Prove();
      co_await changed_.Wait(std::chrono::duration_cast<duration>(limit - now));
    }
    co_return false;
  }

  /// Starts to ask who leads, unless that is under way.
  void Resolve() {
    if (resolving_) {
      return;
    }
    resolving_ = true;
    Spawn(context_, "group",
          [self = this->shared_from_this()] { return self->AskAll(); });
  }

  /// Asks the primary and a replica for a proof, unless that is under way.
  void Prove() {
    if (proving_) {
      return;
    }
    proving_ = true;
    Spawn(context_, "group",
          [self = this->shared_from_this()] { return self->AskProof(); });
  }

  /// Sets how to ask the host that gathers proofs of this group; it says false
  /// if this host is to ask the instances itself.
  void SetProofSource(std::function<bool(const std::string& pool)> source) {
    proof_source_ = std::move(source);
  }

  /// Takes over what the gathering host said.
  void Learn(const view_report& report, time_point question_sent_at) {
    NoteChange(ApplyViewReport(view_, report, question_sent_at));
    changed_.NotifyAll();
  }

  /// Finds a proof young enough to be passed on.
  boost::asio::awaitable<std::optional<view_report>> Gather() {
    const time_point end = monotonic_clock::now() + kAskLimit;
    time_point now = monotonic_clock::now();
    while (now < end) {
      const std::optional<view_report> report = MakeViewReport(view_, now);
      if (report.has_value() && report->proof_age < kSharedProofAge) {
        co_return report;
      }
      Prove();
      co_await changed_.Wait(std::chrono::duration_cast<duration>(end - now));
      now = monotonic_clock::now();
    }
    co_return std::nullopt;
  }

  /// Asks an instance for its status.
  boost::asio::awaitable<std::optional<instance_status>> Ask(
      slot_pointer slot) {
    return Control(slot, control_statement::kStatus, 0);
  }

  /// Asks an instance for its status and takes over what it answers.
  void AskInBackground(const slot_pointer& slot) {
    Spawn(
        context_, "group",
        [self = this->shared_from_this(),
         slot]() -> boost::asio::awaitable<void> { co_await self->Ask(slot); });
  }

  /// Sends a control statement; all answer with the instance's status.
  boost::asio::awaitable<std::optional<instance_status>> Control(
      slot_pointer slot, control_statement what, term_number term) {
    const time_point requested_at = monotonic_clock::now();
    ++counters_.status_questions;
    const link_lease<Codec> lease = co_await links_.AcquireForControl(slot);
    if (lease.link == nullptr) {
      if (lease.failure == failure_code::kNoAnswer) {
        ObserveSilence(*slot, requested_at);
      }
      co_return std::nullopt;
    }
    const std::string bytes = Codec::FormatControl(what, term);
    const exchange_outcome outcome =
        co_await lease.link->Exchange(bytes, 1, kAskLimit);
    Release(lease, !outcome.results.empty());
    if (outcome.results.empty()) {
      ObserveSilence(*slot, requested_at);
      co_return std::nullopt;
    }
    Observe(*slot, outcome.results.front(), requested_at);
    const result<instance_status> status =
        Codec::ParseStatus(outcome.results.front());
    if (!status) {
      co_return std::nullopt;
    }
    ObserveStatus(*slot, status.value(), requested_at);
    co_return status.value();
  }

  /// All instances as the failover logic wants them.
  [[nodiscard]] group_health Health() const {
    group_health health;
    for (const slot_pointer& slot : slots_) {
      health.push_back(slot->health);
    }
    return health;
  }

  [[nodiscard]] slot_pointer Find(const std::string& id) const {
    const auto found = std::find_if(
        slots_.begin(), slots_.end(),
        [&id](const slot_pointer& slot) { return slot->record.id == id; });
    return found == slots_.end() ? nullptr : *found;
  }

  /// Waits until the primary, an instance or a proof changed.
  boost::asio::awaitable<bool> WaitForChange(duration limit) {
    return changed_.Wait(limit);
  }

  [[nodiscard]] const primary_view& View() const { return view_; }
  [[nodiscard]] const std::string& Name() const { return name_; }
  [[nodiscard]] const std::vector<slot_pointer>& Slots() const {
    return slots_;
  }

 private:
  target_option Option(const target_slot<Codec>& slot,
                       const std::string& organisation, time_point now) const {
    target_option option;
    option.in_flight = slot.busy + slot.opening;
    option.slots = std::max<std::uint32_t>(slot.record.slots, 1);
    option.latency = slot.latency;
    option.is_primary = slot.record.id == view_.primary;
    option.is_remote = slot.record.availability_zone != availability_zone_;
    option.has_connection =
        std::any_of(slot.idle.begin(), slot.idle.end(),
                    [&organisation](const link_pointer& link) {
                      return link->Organisation() == organisation;
                    });
    option.connect_time = links_.OpeningTime();
    option.avoid = now < slot.avoid_until || slot.IsSuspect(now);
    return option;
  }

  void ObserveStatus(target_slot<Codec>& slot, const instance_status& status,
                     time_point requested_at) {
    if (!slot.health.status.has_value() ||
        requested_at >= slot.health.requested_at) {
      slot.health.status = status;
      slot.health.requested_at = requested_at;
    }
    if (status.is_primary) {
      NoteChange(RecordPrimary(view_, slot.record.id, status.term));
    } else {
      NoteChange(RecordNotPrimary(view_, slot.record.id, status.term));
    }
  }

  void NoteChange(bool changed) {
    if (!changed) {
      return;
    }
    Log(log_level::kInfo, "primary_view",
        {{"pool", name_},
         {"term", std::to_string(view_.term)},
         {"primary", view_.primary}});
    changed_.NotifyAll();
    if (view_.primary.empty()) {
      Resolve();
    }
  }

  /// Asks the host that gathers proofs of this group, and waits a moment for
  /// its answer.
  /// @return False if this host is to ask the instances itself.
  boost::asio::awaitable<bool> AskHome() {
    if (!proof_source_ || !proof_source_(name_)) {
      co_return false;
    }
    co_await changed_.Wait(kPeerProofLimit);
    co_return true;
  }

  /// Asks an instance that began to claim that it leads, until it is clear
  /// whether it does.
  void Check(slot_pointer slot) {
    Spawn(context_, "group", [self = this->shared_from_this(), slot] {
      return self->AskUntilClear(slot);
    });
  }

  boost::asio::awaitable<void> AskUntilClear(slot_pointer slot) {
    constexpr duration kAgain = std::chrono::milliseconds(60);
    constexpr int kRounds = 40;
    for (int round = 0; round < kRounds; ++round) {
      const bool asked_home = co_await AskHome();
      const bool settled = view_.primary == slot->record.id || !slot->listed;
      if (settled) {
        break;
      }
      if (asked_home && round < kHomeRounds) {
        co_await Sleep(kAgain);
        continue;
      }
      const std::optional<instance_status> status = co_await Ask(slot);
      const bool clear = status.has_value() || view_.primary == slot->record.id;
      if (clear || !slot->listed) {
        break;
      }
      co_await Sleep(kAgain);
    }
  }

  /// Asks the instance that claims to lead, or all, until one says that it
  /// does.
  boost::asio::awaitable<void> AskAll() {
    constexpr duration kAgain = std::chrono::milliseconds(150);
    constexpr int kRounds = 20;
    for (int round = 0; round < kRounds; ++round) {
      const bool asked_home = co_await AskHome();
      if (!view_.primary.empty()) {
        break;
      }
      if (asked_home && round < kHomeRounds) {
        co_await Sleep(kAgain);
        continue;
      }
      const slot_pointer claiming = Primary();
      std::vector<slot_pointer> asked = slots_;
      if (claiming != nullptr && round % 2 == 0) {
        asked.assign(1, claiming);
      }
      for (const slot_pointer& slot : asked) {
        if (slot->listed) {
          AskInBackground(slot);
        }
      }
      co_await changed_.Wait(kAgain);
      if (!view_.primary.empty()) {
        break;
      }
      co_await Sleep(kAgain);
    }
    resolving_ = false;
  }

  boost::asio::awaitable<void> AskProof() {
    const bool asked_home = co_await AskHome();
    if (asked_home && IsPrimaryLeaseValid(view_, view_.primary, view_.term,
                                          monotonic_clock::now())) {
      proving_ = false;
      changed_.NotifyAll();
      co_return;
    }
    const time_point requested_at = monotonic_clock::now();
    const slot_pointer primary = Primary();
    if (primary != nullptr) {
      const std::optional<instance_status> leading = co_await Ask(primary);
      const bool is_primary = leading.has_value() && leading->is_primary;
      const term_number term = is_primary ? leading->term : 0;
      const bool replica_free = co_await AskReplica(primary, term);
      if (is_primary && replica_free) {
        RecordProof(view_, term, requested_at);
      }
    }
    if (!IsPrimaryLeaseValid(view_, view_.primary, view_.term,
                             monotonic_clock::now())) {
      co_await Sleep(kProofRetry);
    }
    proving_ = false;
    changed_.NotifyAll();
  }

  /// Tells whether some replica says that nobody stopped it from receiving.
  boost::asio::awaitable<bool> AskReplica(slot_pointer primary,
                                          term_number term) {
    const std::vector<slot_pointer> asked = slots_;
    bool any = false;
    for (const slot_pointer& slot : asked) {
      if (slot == primary || !slot->listed) {
        continue;
      }
      any = true;
      const std::optional<instance_status> status = co_await Ask(slot);
      if (status.has_value() && status->term == term &&
          status->paused_term == 0) {
        co_return true;
      }
    }
    co_return !any;
  }

  boost::asio::io_context& context_;
  std::string name_;
  std::string availability_zone_;
  gateway_counters& counters_;
  link_pool<Codec> links_;
  primary_view view_;
  async_event changed_;
  std::vector<slot_pointer> slots_;
  std::uint64_t last_claim_ = 0;
  std::uint32_t sync_replicas_ = 0;
  std::function<bool(const std::string& pool)> proof_source_;
  bool resolving_ = false;
  bool proving_ = false;
  std::mt19937_64 random_;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_TARGET_GROUP_H_
