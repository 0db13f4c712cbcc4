#ifndef SASSAFRASWICK_GATEWAY_CONNECTION_LENDER_H_
#define SASSAFRASWICK_GATEWAY_CONNECTION_LENDER_H_

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "sassafraswick/core/log.h"
#include "sassafraswick/gateway/gateway_state.h"
#include "sassafraswick/lending/lease_table.h"
#include "sassafraswick/lending/lend_verdict.h"
#include "sassafraswick/net/async_event.h"
#include "sassafraswick/net/spawn.h"

/// @file
/// The home's side of lent connections: leases connections of this host's pools
/// to other hosts and runs their statements.

namespace sassafraswick {

/// Age of an unanswered request at which its sender is told that it is queued.
inline constexpr duration kQueuedNoticeDelay = std::chrono::milliseconds(20);
/// Time for which a granted statement keeps its place at the instance until it
/// arrives.
inline constexpr duration kGrantHold = std::chrono::milliseconds(100);
/// Time beyond the idle timeout of transactions after which a lease without a
/// message expires: its holder ends its transactions itself if it still runs.
inline constexpr duration kLeaseExpiryMargin = std::chrono::seconds(1);
/// Largest response that is passed on, below the limit of a message.
inline constexpr std::size_t kMaxLentResponseBytes = 4'000'000;
/// Owner of the state of a connection that another host's session has used.
inline constexpr session_number kForeignSession =
    std::numeric_limits<session_number>::max();

template <session_codec Codec>
class connection_lender {
 public:
  using responder =
      std::function<void(const std::string& route, message::envelope envelope)>;

  connection_lender(gateway_state<Codec>& gateway, responder respond)
      : gateway_(gateway), respond_(std::move(respond)) {}

  /// Handles a host's request for a connection.
  /// @param route Where to send the responses.
  void HandleRequest(const message::envelope& received,
                     const std::string& route) {
    const message::lend_request& request = received.lend_request();
    const time_point now = monotonic_clock::now();
    const std::shared_ptr<lent_lease> lent =
        std::make_shared<lent_lease>(gateway_.context.get_executor(),
                                     KeyOf(received, request.lease()), route);
    EndLeasesOfPreviousBoot(lent->key);
    const std::string_view refusal = FindRefusal(request, *lent);
    if (!refusal.empty()) {
      Answer(*lent, lend_verdict::kNotLending, duration::zero(), refusal);
      return;
    }
    lent->request.organisation = request.organisation();
    lent->request.use = static_cast<lease_use>(std::min(
        request.use(), static_cast<std::uint32_t>(lease_use::kTransaction)));
    lent->request.priority = request.priority();
    lent->request.deadline = now + FromMessage(request.time_left_us());
    lent->arrived_at = now;
    if (!table_.TryAdd(lent->key, now)) {
      Answer(*lent, lend_verdict::kNotLending, duration::zero(),
             "too many leases");
      return;
    }
    if (request.has_batch()) {
      if (!table_.TryReserve(lent->key, request.batch().bytes().size())) {
        table_.Remove(lent->key);
        Answer(*lent, lend_verdict::kNotLending, duration::zero(),
               "too many bytes");
        return;
      }
      lent->batch = request.batch();
    }
    leases_[lent->key] = lent;
    UpdateGauge();
    NoticeLater(lent);
    Spawn(gateway_.context, "lease", [this, lent] { return Serve(lent); });
  }

  /// Handles a batch of statements for a lease.
  void HandleBatch(const message::envelope& received,
                   const std::string& route) {
    const message::lent_batch& batch = received.lent_batch();
    const lease_key key = KeyOf(received, batch.lease());
    const auto found = leases_.find(key);
    const bool accepted = found != leases_.end() &&
                          table_.Touch(key, monotonic_clock::now()) &&
                          !found->second->batch.has_value() &&
                          batch.sequence() == found->second->sequence + 1 &&
                          table_.TryReserve(key, batch.bytes().size());
    if (!accepted) {
      message::envelope envelope;
      message::lent_result& result = *envelope.mutable_lent_result();
      result.set_lease(batch.lease());
      result.set_sequence(batch.sequence());
      result.set_not_run(true);
      respond_(route, std::move(envelope));
      GiveUp(found);
      return;
    }
    found->second->route = route;
    found->second->batch = batch;
    found->second->changed.NotifyAll();
  }

  void HandleRelease(const message::envelope& received) {
    GiveUp(leases_.find(KeyOf(received, received.lend_release().lease())));
  }

  /// Ends the leases whose holders have been silent for too long.
  void EndExpired() {
    if (gateway_.current_catalog == nullptr) {
      return;
    }
    const duration timeout =
        gateway_.current_catalog->transaction_idle_timeout + kLeaseExpiryMargin;
    for (const lease_key& key :
         table_.FindExpired(monotonic_clock::now(), timeout)) {
      const auto found = leases_.find(key);
      if (found == leases_.end() || found->second->is_running) {
        continue;
      }
      ++gateway_.counters.leases_expired;
      LogEnd(*found->second, "expired");
      GiveUp(found);
    }
  }

 private:
  /// A connection that another host has asked for.
  struct lent_lease {
    lent_lease(const boost::asio::any_io_executor& executor, lease_key lease,
               std::string back)
        : key(std::move(lease)), route(std::move(back)), changed(executor) {}

    lease_key key;
    std::string route;
    lease_request request;
    std::shared_ptr<target_group<Codec>> group;
    std::shared_ptr<target_state<Codec>> target;
    pooled_connection_lease<Codec> lease;
    time_point arrived_at;
    /// The batch to run next.
    std::optional<message::lent_batch> batch;
    std::uint64_t sequence = 0;
    bool answered = false;
    bool is_running = false;
    /// Its holder does not use it any more.
    bool given_up = false;
    async_event changed;
  };
  using lease_map = std::map<lease_key, std::shared_ptr<lent_lease>>;

  static lease_key KeyOf(const message::envelope& received,
                         std::uint64_t lease) {
    return lease_key{received.host(), received.boot(), lease};
  }

  static duration FromMessage(std::uint64_t microseconds) {
    constexpr duration kMax = std::chrono::minutes(1);
    return duration(static_cast<std::int64_t>(
        std::min(microseconds, static_cast<std::uint64_t>(kMax.count()))));
  }

  /// Finds the group and the instance of a request.
  /// @return Why this host cannot lend a connection; empty if it can.
  std::string_view FindRefusal(const message::lend_request& request,
                               lent_lease& lent) const {
    lent.group = gateway_.FindGroup(request.pool());
    if (gateway_.shutdown.has_value()) {
      return "the home is stopping";
    }
    if (lent.group == nullptr || !lent.group->IsShared()) {
      return "the pool is not shared";
    }
    lent.target = lent.group->Find(request.instance());
    const bool usable = lent.target != nullptr && lent.target->listed &&
                        !lent.target->IsEvacuated(monotonic_clock::now());
    if (!usable) {
      return "the instance is unknown";
    }
    if (lent.target->IsSuspect(monotonic_clock::now())) {
      return "the instance does not respond";
    }
    const std::string& organisation = request.organisation();
    const bool known =
        organisation.empty() ||
        gateway_.current_catalog->organisations.contains(organisation);
    return known ? std::string_view() : "the organisation is unknown";
  }

  void EndLeasesOfPreviousBoot(const lease_key& key) {
    for (const lease_key& ended : table_.ObserveBoot(key.host, key.boot)) {
      GiveUp(leases_.find(ended));
    }
  }

  void GiveUp(typename lease_map::iterator found) {
    if (found != leases_.end()) {
      found->second->given_up = true;
      found->second->changed.NotifyAll();
    }
  }

  void UpdateGauge() { gateway_.counters.present_leases = leases_.size(); }

  void Answer(lent_lease& lent, lend_verdict verdict, duration wait,
              std::string_view reason) {
    lent.answered = true;
    if (verdict == lend_verdict::kRejected ||
        verdict == lend_verdict::kNotLending) {
      ++gateway_.counters.lend_rejections;
    }
    message::envelope envelope;
    message::lend_answer& answer = *envelope.mutable_lend_answer();
    answer.set_lease(lent.key.number);
    answer.set_verdict(static_cast<std::uint32_t>(verdict));
    answer.set_wait_us(static_cast<std::uint64_t>(wait.count()));
    answer.set_reason(std::string(reason));
    respond_(lent.route, std::move(envelope));
  }

  /// Tells the holder that its request is queued, unless it is answered soon.
  void NoticeLater(const std::shared_ptr<lent_lease>& lent) {
    unanswered_.push_back(lent);
    if (!sends_notices_) {
      sends_notices_ = true;
      Spawn(gateway_.context, "lease", [this] { return SendNotices(); });
    }
  }

  boost::asio::awaitable<void> SendNotices() {
    while (!unanswered_.empty()) {
      co_await Sleep(kQueuedNoticeDelay);
      const time_point now = monotonic_clock::now();
      while (!unanswered_.empty()) {
        const std::shared_ptr<lent_lease> lent = unanswered_.front();
        if (!lent->answered && now - lent->arrived_at < kQueuedNoticeDelay) {
          break;
        }
        unanswered_.pop_front();
        if (!lent->answered) {
          Answer(*lent, lend_verdict::kQueued,
                 lent->target->gate->ExpectedWait(lent->request.priority), "");
        }
      }
    }
    sends_notices_ = false;
  }

  boost::asio::awaitable<void> Serve(std::shared_ptr<lent_lease> lent) {
    lent->lease =
        co_await lent->group->AcquireAsHome(lent->target, lent->request);
    if (lent->lease.connection == nullptr) {
      const bool rejected = lent->lease.rejected;
      Answer(*lent,
             rejected ? lend_verdict::kRejected : lend_verdict::kNotLending,
             lent->lease.retry_after,
             rejected ? "busy" : FailureName(lent->lease.failure));
      Remove(*lent);
      co_return;
    }
    ++gateway_.counters.connections_lent;
    if (!lent->batch.has_value() && !lent->given_up) {
      Answer(*lent, lend_verdict::kGranted, duration::zero(), "");
    }
    bool is_idle = true;
    bool goes_on = true;
    while (goes_on && !lent->given_up) {
      if (!lent->batch.has_value()) {
        const bool changed = co_await lent->changed.Wait(kGrantHold);
        if (!changed) {
          lent->lease.connection->admission.ticket.reset();
        }
        continue;
      }
      is_idle = co_await RunBatch(*lent);
      goes_on = !is_idle && lent->lease.connection->IsOpen();
    }
    lent->group->Release(lent->lease, is_idle);
    Remove(*lent);
  }

  void Remove(const lent_lease& lent) {
    table_.Remove(lent.key);
    leases_.erase(lent.key);
    UpdateGauge();
  }

  /// Runs a batch and sends the responses.
  /// @return Whether the connection is idle; the lease has ended then.
  boost::asio::awaitable<bool> RunBatch(lent_lease& lent) {
    pooled_connection<Codec>& connection = *lent.lease.connection;
    const message::lent_batch batch = std::move(*lent.batch);
    lent.is_running = true;
    lent.sequence = batch.sequence();
    std::string bytes;
    std::size_t skipped = 0;
    const bool is_first = batch.sequence() == 1;
    if (is_first && connection.carried_state.owner != 0) {
      bytes = Codec::FormatControl(control_statement::kReset, 0);
      skipped = 1;
    }
    connection.carried_state = {};
    connection.carried_state.owner = kForeignSession;
    bytes += batch.bytes();
    ++gateway_.counters.statements_in_flight;
    const time_point sent_at = monotonic_clock::now();
    const std::size_t count = batch.count() + skipped;
    exchange_outcome outcome = co_await connection.Exchange(
        std::move(bytes), count, FromMessage(batch.timeout_us()), skipped);
    --gateway_.counters.statements_in_flight;
    const bool complete = outcome.results.size() == count && count > skipped &&
                          outcome.bytes.size() <= kMaxLentResponseBytes;
    const bool is_idle =
        complete && outcome.results.back().state == transaction_state::kIdle;
    Observe(lent, outcome, complete, sent_at);
    if (!complete) {
      connection.Close();
    }
    table_.ReleaseBytes(lent.key);
    table_.Touch(lent.key, monotonic_clock::now());
    lent.batch.reset();
    lent.is_running = false;
    lent.answered = true;
    message::envelope envelope;
    message::lent_result& result = *envelope.mutable_lent_result();
    result.set_lease(lent.key.number);
    result.set_sequence(batch.sequence());
    if (complete) {
      result.set_bytes(std::move(outcome.bytes));
    }
    result.set_closed(outcome.closed);
    result.set_not_run(outcome.home_failed);
    result.set_ended(is_idle || !complete);
    respond_(lent.route, std::move(envelope));
    co_return is_idle;
  }

  /// Updates the instance's state from the responses.
  void Observe(const lent_lease& lent, const exchange_outcome& outcome,
               bool complete, time_point sent_at) {
    if (!complete) {
      if (!outcome.home_failed) {
        lent.group->ObserveNoResponse(*lent.target, sent_at);
      }
      LogEnd(lent, outcome.closed ? "the instance ended the connection"
                                  : "no answer from the instance");
      return;
    }
    lent.group->Observe(*lent.target, outcome.results.back(), sent_at);
    if (lent.request.use != lease_use::kTransaction) {
      lent.group->ObserveLatency(*lent.target,
                                 std::chrono::duration_cast<duration>(
                                     monotonic_clock::now() - sent_at));
    }
  }

  void LogEnd(const lent_lease& lent, std::string_view reason) const {
    Log(log_level::kInfo, "lent_connection_failed",
        {{"host", lent.key.host},
         {"pool", lent.group->Name()},
         {"target", lent.target->record.id},
         {"reason", std::string(reason)}});
  }

  gateway_state<Codec>& gateway_;
  responder respond_;
  lease_table table_;
  lease_map leases_;
  /// Requests that wait for an answer, in order of arrival.
  std::deque<std::shared_ptr<lent_lease>> unanswered_;
  bool sends_notices_ = false;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_CONNECTION_LENDER_H_
