#include "sassafraswick/admission/admission_queue.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "sassafraswick/admission/arrival_forecast.h"

namespace sassafraswick {
namespace {

/// Statements beyond the slots that may be under way, so that no slot is idle
/// while a response and the next statement travel.
constexpr std::uint32_t kTravelAllowance = 1;
/// Time between two changes of the limit by one.
constexpr duration kLimitReductionInterval = std::chrono::milliseconds(50);
constexpr duration kLimitRestoreInterval = std::chrono::seconds(1);
/// Fraction of its time within which a new statement must be expected to start.
/// The rest absorbs errors of the forecast.
constexpr int kArrivalNumerator = 3;
constexpr int kArrivalDenominator = 5;
/// Divisor of the rest of its time within which a statement that has waited for
/// half of it must be expected to start.
constexpr int kAgedDivisor = 4;
/// Bounds of the time after which a rejected caller is to come back.
constexpr duration kMinRetryAfter = std::chrono::milliseconds(5);
constexpr duration kMaxRetryAfter = std::chrono::seconds(5);
/// Number of organisations from which idle ones are forgotten.
constexpr std::size_t kIdlePurgeThreshold = 1000;
constexpr double kIdleSlots = 0.001;

duration Between(time_point from, time_point to) {
  return std::chrono::duration_cast<duration>(to - from);
}

waiting_statement MakeWaiting(const admission_request& request,
                              time_point now) {
  waiting_statement statement;
  statement.request = request;
  statement.submitted_at = now;
  statement.aged_at = now + Between(now, request.latest_start) / 2;
  return statement;
}

/// Returns whether a waiting statement makes room for one that has arrived.
bool Yields(const admission_request& waiting,
            const admission_request& arrival) {
  return arrival.in_transaction || arrival.priority < waiting.priority ||
         (arrival.priority == waiting.priority &&
          arrival.organisation != waiting.organisation);
}

}  // namespace

std::string_view RejectionName(rejection_reason reason) noexcept {
  switch (reason) {
    case rejection_reason::kNoRoom:
      return "no_room";
    case rejection_reason::kDisplaced:
      return "displaced";
    case rejection_reason::kExpired:
      return "expired";
  }
  return "unknown";
}

std::uint32_t admission_queue::Limit() const noexcept {
  const std::uint32_t full = slots_ + kTravelAllowance;
  return full > reduction_ ? full - reduction_ : 1;
}

void admission_queue::RecordFull(time_point now) {
  RestoreLimit(now);
  const bool recently_reduced =
      reduction_ > 0 && now - limit_changed_at_ < kLimitReductionInterval;
  if (!recently_reduced && Limit() > 1) {
    ++reduction_;
    limit_changed_at_ = now;
  }
}

void admission_queue::RestoreLimit(time_point now) {
  while (reduction_ > 0 && now - limit_changed_at_ >= kLimitRestoreInterval) {
    --reduction_;
    limit_changed_at_ += kLimitRestoreInterval;
  }
}

admission_change admission_queue::Submit(const admission_request& request,
                                         time_point now) {
  RestoreLimit(now);
  admission_change change;
  RejectExpired(change, now);
  StartNext(change, now);
  const bool is_useful = now <= request.latest_start;
  if (is_useful && waiting_.empty() && running_.size() < Limit()) {
    Start(request, false, now);
    change.started.push_back(request.id);
    return change;
  }
  waiting_.push_back(MakeWaiting(request, now));
  MakeRoom(request.id, change, now);
  return change;
}

admission_change admission_queue::Finish(ticket_id id, time_point now) {
  RestoreLimit(now);
  admission_change change;
  std::erase_if(waiting_, [id](const waiting_statement& statement) {
    return statement.request.id == id;
  });
  const auto ended = std::find_if(running_.begin(), running_.end(),
                                  [id](const running_statement& statement) {
                                    return statement.request.id == id;
                                  });
  if (ended != running_.end()) {
    const admission_request& request = ended->request;
    const duration difference =
        Between(ended->started_at, now) - request.expected_work;
    shares_[request.priority].organisations.CorrectWork(request.organisation,
                                                        difference.count());
    running_.erase(ended);
  }
  RejectExpired(change, now);
  StartNext(change, now);
  return change;
}

admission_change admission_queue::Expire(time_point now) {
  RestoreLimit(now);
  admission_change change;
  StartNext(change, now);
  RejectExpired(change, now);
  const bool any_aged =
      std::any_of(waiting_.begin(), waiting_.end(),
                  [now](const waiting_statement& statement) {
                    return !statement.checked && statement.aged_at <= now;
                  });
  if (!any_aged) {
    return change;
  }
  std::vector<ticket_id> late;
  for (const start_forecast& forecast : Forecast(waiting_, now)) {
    waiting_statement& statement = waiting_[forecast.index];
    const bool is_due = !statement.checked && statement.aged_at <= now;
    if (!is_due) {
      continue;
    }
    statement.checked = true;
    if (!statement.request.in_transaction &&
        Between(now, forecast.start) >
            Between(now, statement.request.latest_start) / kAgedDivisor) {
      late.push_back(statement.request.id);
    }
  }
  for (const ticket_id id : late) {
    const auto found = std::find_if(waiting_.begin(), waiting_.end(),
                                    [id](const waiting_statement& statement) {
                                      return statement.request.id == id;
                                    });
    const duration until_room = Between(now, found->request.latest_start);
    Reject(static_cast<std::size_t>(found - waiting_.begin()),
           rejection_reason::kDisplaced, until_room, change, now);
  }
  return change;
}

std::optional<time_point> admission_queue::NextExpiry() const {
  std::optional<time_point> next;
  for (const waiting_statement& statement : waiting_) {
    const time_point due =
        statement.checked ? statement.request.latest_start : statement.aged_at;
    next = next.has_value() ? std::min(*next, due) : due;
  }
  return next;
}

duration admission_queue::ExpectedWait(std::uint32_t priority,
                                       time_point now) const {
  if (waiting_.empty() && running_.size() < Limit()) {
    return duration::zero();
  }
  std::vector<waiting_statement> waiting = waiting_;
  admission_request request;
  request.priority = priority;
  request.latest_start = time_point::max();
  waiting_statement& added = waiting.emplace_back();
  added.request = request;
  added.aged_at = time_point::max();
  for (const start_forecast& forecast : Forecast(waiting, now)) {
    if (forecast.index + 1 == waiting.size()) {
      return Between(now, forecast.start);
    }
  }
  return duration::zero();
}

void admission_queue::Start(const admission_request& request, bool overtakes,
                            time_point now) {
  running_.push_back(running_statement{request, now});
  debt_.RecordStart(request.expected_work, overtakes);
  priority_share& share = shares_[request.priority];
  share.organisations.ChargeWork(
      request.organisation,
      static_cast<std::uint64_t>(request.expected_work.count()));
  share.by_organisation[request.organisation].Add(request.expected_work, now);
  if (share.by_organisation.size() > kIdlePurgeThreshold) {
    std::erase_if(share.by_organisation,
                  [now](const std::pair<const std::string, work_rate>& entry) {
                    return entry.second.Slots(now) < kIdleSlots;
                  });
  }
}

void admission_queue::StartNext(admission_change& change, time_point now) {
  if (waiting_.empty() || running_.size() >= Limit()) {
    return;
  }
  std::vector<ticket_id> started;
  start_sequence sequence(waiting_, shares_, debt_);
  while (running_.size() < Limit()) {
    const std::optional<next_start> next = sequence.Take(now);
    if (!next.has_value()) {
      break;
    }
    const admission_request& request = waiting_[next->index].request;
    Start(request, next->overtakes, now);
    started.push_back(request.id);
  }
  std::erase_if(waiting_, [&started](const waiting_statement& statement) {
    return std::find(started.begin(), started.end(), statement.request.id) !=
           started.end();
  });
  change.started.insert(change.started.end(), started.begin(), started.end());
}

void admission_queue::RejectExpired(admission_change& change, time_point now) {
  for (std::size_t i = waiting_.size(); i > 0; --i) {
    if (waiting_[i - 1].request.latest_start <= now) {
      Reject(i - 1, rejection_reason::kExpired, duration::zero(), change, now);
    }
  }
}

void admission_queue::MakeRoom(ticket_id arrival, admission_change& change,
                               time_point now) {
  while (true) {
    const std::vector<start_forecast> forecasts = Forecast(waiting_, now);
    std::optional<start_forecast> arrival_forecast;
    std::optional<start_forecast> latest;
    for (const start_forecast& forecast : forecasts) {
      const waiting_statement& statement = waiting_[forecast.index];
      if (statement.request.id == arrival) {
        arrival_forecast = forecast;
      } else if (!statement.request.in_transaction &&
                 forecast.start > statement.request.latest_start) {
        latest = forecast;
      }
    }
    const admission_request& request =
        waiting_[arrival_forecast->index].request;
    const duration wait = Between(now, arrival_forecast->start);
    const duration time_left = Between(now, request.latest_start);
    const duration allowed =
        time_left * kArrivalNumerator / kArrivalDenominator;
    const bool is_late =
        request.in_transaction ? time_left < duration::zero() : wait > allowed;
    if (is_late) {
      Reject(arrival_forecast->index, rejection_reason::kNoRoom, wait - allowed,
             change, now);
      return;
    }
    if (!latest.has_value()) {
      return;
    }
    const waiting_statement& other = waiting_[latest->index];
    const bool yields = Yields(other.request, request);
    const bool has_aged = other.aged_at <= now;
    if (yields && has_aged) {
      return;
    }
    const start_forecast& loser = yields ? *latest : *arrival_forecast;
    Reject(loser.index,
           yields ? rejection_reason::kDisplaced : rejection_reason::kNoRoom,
           Between(other.request.latest_start, latest->start), change, now);
    if (!yields) {
      return;
    }
  }
}

void admission_queue::Reject(std::size_t index, rejection_reason reason,
                             duration until_room, admission_change& change,
                             time_point now) {
  const admission_request request = waiting_[index].request;
  waiting_.erase(waiting_.begin() + static_cast<std::ptrdiff_t>(index));
  change.rejected.push_back(admission_rejection{
      request.id, ReserveReturn(request, until_room, now), reason});
}

duration admission_queue::ReserveReturn(const admission_request& request,
                                        duration until_room, time_point now) {
  time_point at = now + std::max(until_room, kMinRetryAfter);
  for (const std::pair<const std::uint32_t, time_point>& next : next_returns_) {
    if (next.first <= request.priority) {
      at = std::max(at, next.second);
    }
  }
  at = std::min(at, now + kMaxRetryAfter);
  next_returns_[request.priority] = at + request.expected_work / UsableSlots();
  return Between(now, at);
}

std::vector<admission_queue::start_forecast> admission_queue::Forecast(
    const std::vector<waiting_statement>& waiting, time_point now) const {
  std::vector<time_point> slots = SlotEnds(now);
  const arrival_forecast arrivals(shares_, UsableSlots(), now);
  std::vector<start_forecast> forecasts;
  forecasts.reserve(waiting.size());
  start_sequence sequence(waiting, shares_, debt_);
  while (true) {
    const time_point start = std::max(slots.front(), now);
    const std::optional<next_start> next = sequence.Take(start);
    if (!next.has_value()) {
      return forecasts;
    }
    const admission_request& request = waiting[next->index].request;
    forecasts.push_back(start_forecast{
        next->index,
        now + arrivals.Extend(Between(now, start), *next, request)});
    std::pop_heap(slots.begin(), slots.end(), std::greater<>());
    slots.back() = start + request.expected_work;
    std::push_heap(slots.begin(), slots.end(), std::greater<>());
  }
}

std::vector<time_point> admission_queue::SlotEnds(time_point now) const {
  std::vector<time_point> slots(UsableSlots(), now);
  for (const running_statement& running : running_) {
    std::pop_heap(slots.begin(), slots.end(), std::greater<>());
    const duration work = running.request.expected_work;
    // A statement that takes longer than expected is assumed to take half as
    // long again.
    const time_point end = std::max(running.started_at + work, now + work / 2);
    slots.back() = slots.back() == now ? end : slots.back() + work;
    std::push_heap(slots.begin(), slots.end(), std::greater<>());
  }
  return slots;
}

}  // namespace sassafraswick
