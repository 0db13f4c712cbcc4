#ifndef SASSAFRASWICK_GATEWAY_OPERATION_H_
#define SASSAFRASWICK_GATEWAY_OPERATION_H_

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "sassafraswick/gateway/gateway_state.h"
#include "sassafraswick/gateway/read_plan.h"
#include "sassafraswick/gateway/statement_batch.h"
#include "sassafraswick/session/session_engine.h"

/// @file
/// Runs one operation's statements on targets: chooses instances, retries what
/// was not run, and proves that answers are fresh enough.

namespace sassafraswick {

/// A transaction that runs on a target.
template <session_codec Codec>
struct running_transaction {
  link_lease<Codec> lease;
  term_number term = 0;
  /// Reads have to be covered by a permit of the primary.
  bool needs_permit = false;
};

/// Runs statements of one operation.
template <session_codec Codec>
class operation_runner {
 public:
  operation_runner(gateway_state<Codec>& gateway, session_engine& engine,
                   operation_scope scope)
      : gateway_(gateway),
        engine_(engine),
        scope_(std::move(scope)),
        group_(gateway.FindGroup(scope_.route.pool)) {}

  /// Runs a read outside a transaction, on another instance if need be.
  boost::asio::awaitable<statement_result> Read(statement query) {
    const auto plan = [this](const std::vector<std::string>& tried) {
      return PlanRead(*group_, scope_, tried);
    };
    const auto run = [this, &query](const read_plan<Codec>& where,
                                    const link_lease<Codec>& lease) {
      return ReadOn(query, where, lease);
    };
    const statement_result answer =
        co_await Offer(query.id, scope_.Deadline(), plan, run);
    co_return answer;
  }

  /// Runs a write outside a transaction.
  boost::asio::awaitable<statement_result> Write(statement query) {
    statement_result answer = Refuse("the group has no primary at present");
    while (true) {
      const std::shared_ptr<target_slot<Codec>> primary =
          AvailablePrimary(*group_);
      if (primary == nullptr) {
        const bool changed = co_await WaitForGroup(false);
        if (changed) {
          continue;
        }
        co_return Final(answer);
      }
      const link_lease<Codec> lease = co_await group_->Acquire(
          primary, scope_.organisation, scope_.session, scope_.OfferLimit());
      NoteLease(lease);
      if (lease.link == nullptr) {
        answer = Refuse("no connection to the primary is free");
      } else {
        answer = co_await WriteOn(query, lease);
        const bool not_run = answer.failure == failure_code::kReadOnly ||
                             answer.failure == failure_code::kMisrouted;
        if (!not_run) {
          co_return answer;
        }
      }
      const bool changed = co_await WaitForGroup(false);
      if (!changed) {
        co_return Final(answer);
      }
    }
  }

  /// Starts a transaction on a target.
  /// @param begin The caller's statement.
  /// @param transaction Set on success.
  /// @return The failure, or a success that is not sent to the caller.
  boost::asio::awaitable<statement_result> Begin(
      statement begin, std::optional<running_transaction<Codec>>& transaction) {
    const bool read_only = begin.kind == statement_kind::kBeginReadOnly;
    const auto plan = [this, read_only](const std::vector<std::string>& tried) {
      return read_only ? PlanRead(*group_, scope_, tried) : PlanTransaction();
    };
    running_transaction<Codec> begun;
    const auto run = [this, &begin, &begun](const read_plan<Codec>& where,
                                            const link_lease<Codec>& lease) {
      begun.lease = lease;
      begun.needs_permit = where.needs_permit;
      return BeginOn(begin, where, lease);
    };
    const statement_result answer =
        co_await Offer(begin.id, scope_.OfferLimit(), plan, run);
    if (answer.failure == failure_code::kNone) {
      begun.term = group_->View().term;
      transaction = begun;
    }
    co_return answer;
  }

  /// Runs a statement, or the commit, of a transaction.
  boost::asio::awaitable<statement_result> RunInside(
      statement query, bool writes, running_transaction<Codec>& transaction) {
    const bool commits = query.kind == statement_kind::kCommit;
    if (writes) {
      engine_.OnWrite();
    }
    const bool is_write = commits ? engine_.MayHaveWritten() : writes;
    const sent_statement sent = co_await SendOn(
        query, std::nullopt, transaction.lease, scope_.route.statement_timeout);
    statement_result answer = sent.answer;
    target_slot<Codec>& slot = *transaction.lease.slot;
    if (answer.failure == failure_code::kNoAnswer) {
      answer.failure = engine_.FailureOnConnectionLoss(commits);
      answer.detail = answer.failure == failure_code::kInDoubt
                          ? "no answer to the commit from the target"
                          : "no answer from the target; rolled back";
      co_return answer;
    }
    Count(is_write, slot, sent.sent_at);
    if (answer.failure == failure_code::kNone && commits && is_write) {
      group_->ObserveCommit(slot, answer, sent.sent_at);
    }
    const bool reads = !commits && !writes;
    if (answer.failure == failure_code::kNone && reads &&
        transaction.needs_permit) {
      const bool permitted = co_await group_->AwaitPermit(
          slot.record.id, TermOf(answer, transaction.term), scope_.Deadline());
      if (!permitted) {
        answer = Refuse("the primary may have been replaced");
        answer.failure = failure_code::kAborted;
      }
    }
    co_return answer;
  }

  [[nodiscard]] const std::shared_ptr<target_group<Codec>>& Group() const {
    return group_;
  }
  /// Time spent on waiting for connections.
  [[nodiscard]] duration Waited() const { return waited_; }
  /// Instance that was tried last; empty if none was.
  [[nodiscard]] const std::string& LastTarget() const { return last_target_; }

 private:
  /// Offers an operation to one instance after another until one runs it.
  /// @param limit Latest moment for another try.
  /// @param plan Chooses an instance, given those that were tried.
  /// @param run Runs the operation over a connection and gives that back.
  template <typename Plan, typename Run>
  boost::asio::awaitable<statement_result> Offer(std::string request,
                                                 time_point limit, Plan plan,
                                                 Run run) {
    std::vector<std::string> tried;
    std::vector<std::string> lagged;
    statement_result answer = Refuse("no instance is ready");
    while (true) {
      const read_plan<Codec> where = plan(tried);
      if (where.slot == nullptr) {
        const bool changed = co_await WaitForGroup(where.awaits_proof);
        if (changed) {
          continue;
        }
        co_return Final(answer);
      }
      if (where.wait > duration::zero()) {
        co_await Sleep(where.wait);
      }
      const link_lease<Codec> lease = co_await group_->Acquire(
          where.slot, scope_.organisation, scope_.session, scope_.OfferLimit());
      NoteLease(lease);
      if (lease.link == nullptr) {
        answer = Refuse("no connection to an instance is free");
      } else {
        answer = co_await run(where, lease);
        if (answer.failure == failure_code::kNone || !MayRepeat(answer)) {
          co_return answer;
        }
      }
      NoteRetry(request, where, answer);
      const std::string& id = where.slot->record.id;
      if (Contains(tried, id) || monotonic_clock::now() >= limit) {
        co_return Final(answer);
      }
      // Its answer tells when it will have caught up, so it is asked once more.
      const bool may_catch_up =
          answer.failure == failure_code::kLagging && !Contains(lagged, id);
      (may_catch_up ? lagged : tried).push_back(id);
    }
  }

  static bool Contains(const std::vector<std::string>& ids,
                       const std::string& id) {
    return std::find(ids.begin(), ids.end(), id) != ids.end();
  }

  /// Where a transaction that may write begins.
  [[nodiscard]] read_plan<Codec> PlanTransaction() const {
    read_plan<Codec> where;
    where.term = group_->View().term;
    where.after = PositionForRead(group_->View(), scope_);
    where.needs_permit = !where.after.has_value();
    where.slot = AvailablePrimary(*group_);
    return where;
  }

  /// Term that the instance was in when it answered. An instance that leads
  /// this term later led it then.
  static term_number TermOf(const statement_result& answer,
                            term_number planned) {
    return answer.position.has_value() ? answer.position->term : planned;
  }

  /// Builds the answer to an operation that was not run.
  [[nodiscard]] statement_result Refuse(std::string reason) const {
    statement_result answer;
    answer.failure = failure_code::kBusy;
    answer.detail = std::move(reason);
    return answer;
  }

  /// Turns the last failure of an operation into one for the caller.
  [[nodiscard]] statement_result Final(statement_result answer) const {
    if (answer.failure == failure_code::kNoAnswer ||
        answer.failure == failure_code::kLagging ||
        answer.failure == failure_code::kReadOnly ||
        answer.failure == failure_code::kMisrouted ||
        answer.failure == failure_code::kTooManyConnections) {
      answer.detail = "no instance could run it (" +
                      std::string(FailureName(answer.failure)) + ")";
      answer.failure = failure_code::kBusy;
    }
    return answer;
  }

  /// Reads may be run again unless the caller is at fault.
  static bool MayRepeat(const statement_result& answer) {
    return answer.failure == failure_code::kBusy ||
           answer.failure == failure_code::kLagging ||
           answer.failure == failure_code::kReadOnly ||
           answer.failure == failure_code::kMisrouted ||
           answer.failure == failure_code::kStatementFailed ||
           answer.failure == failure_code::kNoAnswer;
  }

  /// Waits for the group to change, as long as an offer is still in time.
  /// @param prove Ask for a proof meanwhile.
  boost::asio::awaitable<bool> WaitForGroup(bool prove) {
    const time_point now = monotonic_clock::now();
    if (now >= scope_.OfferLimit()) {
      co_return false;
    }
    if (group_->View().primary.empty()) {
      group_->Resolve();
    }
    if (prove) {
      group_->Prove();
    }
    const bool changed = co_await group_->WaitForChange(
        std::chrono::duration_cast<duration>(scope_.OfferLimit() - now));
    co_return changed;
  }

  void NoteLease(const link_lease<Codec>& lease) {
    waited_ += lease.waited;
    last_target_ = lease.slot->record.id;
  }

  static statement_result TakeAnswer(const exchange_outcome& outcome,
                                     std::size_t count) {
    if (outcome.results.size() == count) {
      return outcome.results.back();
    }
    statement_result missing;
    missing.failure = failure_code::kNoAnswer;
    missing.detail = outcome.closed ? "the target ended the connection"
                                    : "no answer in time";
    return missing;
  }

  [[nodiscard]] duration ReadLimit(const target_slot<Codec>& slot) const {
    const duration usual =
        std::max(kReadPatience, slot.latency * kReadPatienceFactor);
    const duration left = std::chrono::duration_cast<duration>(
        scope_.Deadline() - monotonic_clock::now());
    return std::max(std::min(usual, left), duration(1));
  }

  /// A target's answer, and when the statement was sent.
  struct sent_statement {
    statement_result answer;
    time_point sent_at;
  };

  /// Sends a statement and takes over what its answer shows of the target.
  /// @param after Position that the target must show.
  /// @param limit Time after which the connection is given up.
  boost::asio::awaitable<sent_statement> SendOn(statement query,
                                                std::optional<log_point> after,
                                                link_lease<Codec> lease,
                                                duration limit) {
    sent_statement sent;
    sent.sent_at = monotonic_clock::now();
    std::size_t count = 0;
    const std::string bytes = BuildBatch<Codec>(
        engine_.SessionState(), *lease.link, query, after, count);
    const exchange_outcome outcome =
        co_await lease.link->Exchange(bytes, count, limit);
    sent.answer = TakeAnswer(outcome, count);
    if (sent.answer.failure == failure_code::kNoAnswer) {
      group_->ObserveSilence(*lease.slot, sent.sent_at);
    } else {
      group_->Observe(*lease.slot, sent.answer, sent.sent_at);
    }
    co_return sent;
  }

  boost::asio::awaitable<statement_result> ReadOn(statement query,
                                                  read_plan<Codec> plan,
                                                  link_lease<Codec> lease) {
    target_slot<Codec>& slot = *lease.slot;
    const bool permitted_now = IsPermitted(group_->View(), slot.record.id,
                                           plan.term, monotonic_clock::now());
    if (plan.needs_permit && !permitted_now) {
      group_->Prove();
    }
    const sent_statement sent =
        co_await SendOn(query, plan.after, lease, ReadLimit(slot));
    const statement_result& answer = sent.answer;
    group_->Release(lease, answer.failure != failure_code::kNoAnswer);
    if (answer.failure == failure_code::kBusy) {
      slot.avoid_until = monotonic_clock::now() + kBusyRest;
    }
    if (answer.failure != failure_code::kNone) {
      co_return answer;
    }
    Count(false, slot, sent.sent_at);
    if (plan.needs_permit) {
      const bool permitted = co_await group_->AwaitPermit(
          slot.record.id, TermOf(answer, plan.term), scope_.Deadline());
      if (!permitted) {
        co_return Refuse("the primary may have been replaced");
      }
    }
    co_return answer;
  }

  boost::asio::awaitable<statement_result> WriteOn(statement query,
                                                   link_lease<Codec> lease) {
    const duration left = std::chrono::duration_cast<duration>(
        scope_.Deadline() - monotonic_clock::now());
    const sent_statement sent =
        co_await SendOn(query, std::nullopt, lease, left);
    statement_result answer = sent.answer;
    group_->Release(lease, answer.failure != failure_code::kNoAnswer);
    if (answer.failure == failure_code::kNoAnswer) {
      answer.failure = failure_code::kInDoubt;
    } else if (answer.failure == failure_code::kNone) {
      group_->ObserveCommit(*lease.slot, answer, sent.sent_at);
      Count(true, *lease.slot, sent.sent_at);
    }
    co_return answer;
  }

  boost::asio::awaitable<statement_result> BeginOn(statement begin,
                                                   read_plan<Codec> plan,
                                                   link_lease<Codec> lease) {
    const sent_statement sent =
        co_await SendOn(begin, plan.after, lease, kReadPatience);
    const statement_result& answer = sent.answer;
    if (answer.failure != failure_code::kNone) {
      const bool at_rest = answer.failure != failure_code::kNoAnswer &&
                           answer.state == transaction_state::kIdle;
      group_->Release(lease, at_rest);
    } else if (begin.kind == statement_kind::kBegin) {
      group_->ObserveLeader(*lease.slot, answer);
    }
    co_return answer;
  }

  void Count(bool write, target_slot<Codec>& slot, time_point sent_at) {
    const duration took =
        std::chrono::duration_cast<duration>(monotonic_clock::now() - sent_at);
    group_->ObserveLatency(slot, took);
    gateway_counters& counters = gateway_.counters;
    if (write) {
      ++counters.writes;
      counters.write_latency.Record(took);
    } else {
      const bool primary = slot.record.id == group_->View().primary;
      ++(primary ? counters.reads_on_primary : counters.reads_on_replica);
      counters.read_latency.Record(took);
    }
  }

  void NoteRetry(const std::string& request, const read_plan<Codec>& plan,
                 const statement_result& answer) {
    ++gateway_.counters.retries;
    Log(log_level::kInfo, "not_run_here",
        {{"request", request},
         {"pool", scope_.route.pool},
         {"target", plan.slot->record.id},
         {"reason", std::string(FailureName(answer.failure))},
         {"after", plan.after.has_value()
                       ? std::to_string(plan.after->term) + "." +
                             std::to_string(plan.after->position)
                       : std::string("-")}});
  }

  gateway_state<Codec>& gateway_;
  session_engine& engine_;
  operation_scope scope_;
  std::shared_ptr<target_group<Codec>> group_;
  duration waited_ = duration::zero();
  std::string last_target_;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_OPERATION_H_
