#ifndef SASSAFRASWICK_GATEWAY_LINK_POOL_H_
#define SASSAFRASWICK_GATEWAY_LINK_POOL_H_

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "sassafraswick/core/log.h"
#include "sassafraswick/gateway/counters.h"
#include "sassafraswick/gateway/target_slot.h"

/// @file
/// One host's connections to the instances of a group: who gets one, which are
/// kept and when one is opened.

namespace sassafraswick {

/// Most that opening a connection counts when an instance is chosen. A
/// handshake takes 12 ms of a slot on the users' sites, and serves later
/// statements too.
inline constexpr duration kMostConnectTime = std::chrono::milliseconds(10);

/// Hears what connections show of an instance.
template <session_codec Codec>
struct link_observer {
  std::function<void(target_slot<Codec>& slot, const statement_result& answer,
                     time_point asked_at)>
      answered;
  std::function<void(target_slot<Codec>& slot, time_point asked_at)> silent;
};

/// Connections belong to an organisation, and hold a session's values until
/// another one needs them.
template <session_codec Codec>
class link_pool {
 public:
  using slot_pointer = std::shared_ptr<target_slot<Codec>>;
  using link_pointer = std::shared_ptr<target_link<Codec>>;

  link_pool(std::string group, gateway_counters& counters,
            link_observer<Codec> observer)
      : name_(std::move(group)),
        counters_(counters),
        observer_(std::move(observer)) {}

  /// Sets what one host may hold of each instance's connections.
  void SetBudget(std::uint32_t connections, std::uint32_t hosts) {
    budget_ = ShareConnections(connections, hosts);
    hosts_ = hosts;
  }

  /// Gets a connection for an organisation.
  /// @param limit Longest wait for a connection to be free.
  boost::asio::awaitable<link_lease<Codec>> Acquire(slot_pointer slot,
                                                    std::string organisation,
                                                    session_number session,
                                                    time_point limit) {
    const time_point asked_at = monotonic_clock::now();
    link_lease<Codec> lease =
        co_await AcquireWithin(slot, organisation, session, limit);
    lease.waited =
        std::chrono::duration_cast<duration>(monotonic_clock::now() - asked_at);
    co_return lease;
  }

  /// Gives a connection back.
  /// @param reusable The target has answered everything and is at rest.
  void Release(const link_lease<Codec>& lease, bool reusable) {
    --lease.slot->busy;
    const bool keep = reusable && lease.link->IsOpen() && lease.slot->listed &&
                      Held(*lease.slot) < budget_.max_open;
    if (keep) {
      lease.link->idle_since = monotonic_clock::now();
      lease.slot->idle.push_back(lease.link);
      CloseSpare(*lease.slot);
    } else {
      lease.link->Close();
    }
    lease.slot->freed.NotifyAll();
  }

  /// Any idle connection will do for a question. Without one a connection is
  /// opened beyond the budget, so that questions do not wait for statements.
  boost::asio::awaitable<link_lease<Codec>> AcquireForControl(
      slot_pointer slot) {
    std::erase_if(slot->idle,
                  [](const link_pointer& link) { return link->IsStale(); });
    link_lease<Codec> lease;
    lease.slot = slot;
    if (slot->idle.empty() && monotonic_clock::now() >= slot->full_until) {
      lease = co_await Open(slot, std::string());
      if (lease.failure != failure_code::kTooManyConnections) {
        co_return lease;
      }
    }
    if (slot->idle.empty() && slot->busy > 0) {
      co_await slot->freed.Wait(kFullPause);
    }
    if (slot->idle.empty()) {
      lease.failure = failure_code::kTooManyConnections;
      co_return lease;
    }
    lease.link = slot->idle.back();
    slot->idle.pop_back();
    ++slot->busy;
    co_return lease;
  }

  /// Closes idle connections beyond this host's share. What is open when hosts
  /// lose power goes on to count for seconds, so the fleet keeps at rest only
  /// what leaves room for as much again.
  void CloseSpare(target_slot<Codec>& slot) {
    while (slot.idle.size() > 1 && Held(slot) > budget_.max_idle) {
      slot.idle.erase(slot.idle.begin());
    }
    const bool rested =
        budget_.max_idle == 0 && !slot.idle.empty() &&
        monotonic_clock::now() - slot.idle.front()->idle_since > kBriefRest;
    if (rested) {
      slot.idle.erase(slot.idle.begin());
    }
  }

  /// Rolls a transaction back and gives the connection back.
  boost::asio::awaitable<void> Rollback(link_lease<Codec> lease) {
    const std::string bytes =
        Codec::FormatControl(control_statement::kRollback, 0);
    const exchange_outcome outcome =
        co_await lease.link->Exchange(bytes, 1, kAskLimit);
    const bool at_rest =
        !outcome.results.empty() &&
        outcome.results.front().state == transaction_state::kIdle;
    Release(lease, at_rest);
  }

  /// Time that the last opening took, as far as it counts.
  [[nodiscard]] duration OpeningTime() const noexcept { return opening_time_; }

 private:
  static std::uint32_t Held(const target_slot<Codec>& slot) {
    return static_cast<std::uint32_t>(slot.idle.size()) + slot.busy +
           slot.opening;
  }

  /// Tells whether another connection may be opened, and makes room for it.
  bool MayOpen(target_slot<Codec>& slot) {
    if (monotonic_clock::now() < slot.full_until) {
      return false;
    }
    const bool has_room = Held(slot) < budget_.max_open || !slot.idle.empty();
    if (!has_room ||
        !TryAcquireConnect(slot.pace,
                           std::max<std::uint32_t>(slot.record.slots, 1),
                           hosts_, monotonic_clock::now())) {
      return false;
    }
    if (Held(slot) >= budget_.max_open) {
      slot.idle.erase(slot.idle.begin());
    }
    return true;
  }

  /// Takes an idle connection of the organisation, best one that holds the
  /// session's values.
  link_pointer TakeIdle(target_slot<Codec>& slot,
                        const std::string& organisation,
                        session_number session) {
    std::erase_if(slot.idle,
                  [](const link_pointer& link) { return link->IsStale(); });
    auto chosen = slot.idle.end();
    for (auto each = slot.idle.begin(); each != slot.idle.end(); ++each) {
      if ((*each)->Organisation() != organisation) {
        continue;
      }
      chosen = each;
      if ((*each)->memory.owner == session) {
        break;
      }
    }
    if (chosen == slot.idle.end()) {
      return nullptr;
    }
    link_pointer taken = *chosen;
    slot.idle.erase(chosen);
    return taken;
  }

  boost::asio::awaitable<link_lease<Codec>> AcquireWithin(
      slot_pointer slot, std::string organisation, session_number session,
      time_point limit) {
    link_lease<Codec> lease;
    lease.slot = slot;
    while (true) {
      lease.link = TakeIdle(*slot, organisation, session);
      if (lease.link != nullptr) {
        ++slot->busy;
        co_return lease;
      }
      if (MayOpen(*slot)) {
        lease = co_await Open(slot, organisation);
        const bool wait_instead =
            lease.failure == failure_code::kTooManyConnections &&
            slot->busy > 0;
        if (!wait_instead) {
          co_return lease;
        }
      }
      const time_point now = monotonic_clock::now();
      if (now >= limit) {
        lease.failure = failure_code::kBusy;
        co_return lease;
      }
      const duration left = std::chrono::duration_cast<duration>(limit - now);
      co_await slot->freed.Wait(std::min(left, kFullPause));
    }
  }

  boost::asio::awaitable<link_lease<Codec>> Open(slot_pointer slot,
                                                 std::string organisation) {
    link_lease<Codec> lease;
    lease.slot = slot;
    ++slot->opening;
    ++counters_.connections_opened;
    const time_point asked_at = monotonic_clock::now();
    result<stream_socket> socket =
        co_await Connect(slot->record.address, kOpenLimit);
    if (!socket) {
      --slot->opening;
      lease.failure = failure_code::kNoAnswer;
      NoteOpenFailure(*slot, socket.error(), asked_at);
      co_return lease;
    }
    EnableKeepalive(socket.value());
    link_pointer link = std::make_shared<target_link<Codec>>(
        std::move(socket.value()), organisation);
    const std::string hello =
        Codec::FormatHello(name_, organisation, slot->record.id);
    const exchange_outcome outcome =
        co_await link->Exchange(hello, 1, kOpenLimit);
    --slot->opening;
    if (outcome.results.empty()) {
      lease.failure = failure_code::kNoAnswer;
      observer_.silent(*slot, asked_at);
      co_return lease;
    }
    const statement_result& greeting = outcome.results.front();
    lease.failure = greeting.failure;
    if (greeting.failure != failure_code::kNone) {
      const time_point now = monotonic_clock::now();
      slot->answered_at = now;
      slot->health.silent_since.reset();
      slot->avoid_until = now + kAvoidTime;
      slot->full_until = now + kFullPause;
      Log(log_level::kInfo, "target_refused_connection",
          {{"pool", name_},
           {"target", slot->record.id},
           {"reason", std::string(FailureName(greeting.failure))}});
      co_return lease;
    }
    opening_time_ =
        std::min(kMostConnectTime, std::chrono::duration_cast<duration>(
                                       monotonic_clock::now() - asked_at));
    observer_.answered(*slot, greeting, asked_at);
    ++slot->busy;
    lease.link = std::move(link);
    co_return lease;
  }

  void NoteOpenFailure(target_slot<Codec>& slot, const error& failure,
                       time_point asked_at) {
    const time_point now = monotonic_clock::now();
    observer_.silent(slot, asked_at);
    if (failure.kind == error_kind::kClosed) {
      if (!slot.health.refused_since.has_value()) {
        slot.health.refused_since = asked_at;
      }
      slot.health.refused_at = now;
    }
    Log(log_level::kInfo, "target_connect_failed",
        {{"pool", name_},
         {"target", slot.record.id},
         {"reason", failure.message}});
  }

  std::string name_;
  gateway_counters& counters_;
  link_observer<Codec> observer_;
  connection_share budget_;
  std::uint32_t hosts_ = 1;
  duration opening_time_ = kMostConnectTime;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_LINK_POOL_H_
