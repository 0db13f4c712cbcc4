#include "standin/instance.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace standin {
namespace {

constexpr duration kApplyPollInterval = std::chrono::milliseconds(1);
constexpr duration kIdleApplyInterval = std::chrono::seconds(1);

std::int64_t Microseconds(time_point::duration span) {
  return std::chrono::duration_cast<duration>(span).count();
}

}  // namespace

instance::instance(boost::asio::io_context& context, instance_settings settings)
    : context_(context),
      settings_(std::move(settings)),
      history_({{1, 0}}),
      is_primary_(settings_.primary),
      last_primary_message_at_(sassafraswick::monotonic_clock::now()),
      fresh_as_of_(last_primary_message_at_),
      pending_fresh_as_of_(last_primary_message_at_),
      changed_(context.get_executor()) {}

void instance::StartReplication() {
  namespace asio = boost::asio;
  asio::co_spawn(context_, ApplyEntries(), asio::detached);
  asio::co_spawn(context_, AcceptReplication(), asio::detached);
  for (const endpoint& peer : settings_.peers) {
    asio::co_spawn(context_, SendReplication(peer), asio::detached);
  }
}

std::string instance::StatusText() const {
  const time_point now = sassafraswick::monotonic_clock::now();
  const term_number log_term = log_.empty() ? 1 : log_.back().term;
  const std::int64_t lag = is_primary_ ? 0 : Microseconds(now - fresh_as_of_);
  const std::int64_t since_primary_message =
      is_primary_ ? 0 : Microseconds(now - last_primary_message_at_);
  std::string text = "term=" + std::to_string(term_) +
                     " role=" + (is_primary_ ? "primary" : "replica") +
                     " log_term=" + std::to_string(log_term) +
                     " received=" + std::to_string(Received()) +
                     " applied=" + std::to_string(applied_) +
                     " lag_us=" + std::to_string(lag) + " primary_silence_us=" +
                     std::to_string(since_primary_message) + " history=";
  for (const sassafraswick::term_start& start : history_) {
    text +=
        std::to_string(start.term) + ":" + std::to_string(start.position) + ",";
  }
  text.pop_back();
  return text;
}

std::string instance::AppliedText() const {
  const term_number term = applied_ == 0 ? 1 : log_[applied_ - 1].term;
  return std::to_string(term) + "/" + std::to_string(applied_);
}

command_result instance::Fence(term_number term) {
  if (term <= term_) {
    return {false, StatusText()};
  }
  StepDown(term);
  return {true, StatusText()};
}

command_result instance::Promote(term_number term) {
  if (term != term_ || is_primary_) {
    return {false, StatusText()};
  }
  while (applied_ < log_.size()) {
    engine_.Apply(log_[applied_]);
    ++applied_;
  }
  is_primary_ = true;
  history_.push_back({term_, log_.size()});
  log_.push_back({term_, {}});
  received_at_.push_back(sassafraswick::monotonic_clock::now());
  applied_ = log_.size();
  changed_.NotifyAll();
  return {true, StatusText()};
}

bool instance::Commit(transaction& txn) {
  if (!is_primary_) {
    engine_.Rollback(txn);
    return false;
  }
  std::optional<log_entry> entry = engine_.Commit(txn);
  if (entry.has_value()) {
    entry->term = term_;
    engine_.Apply(*entry);
    log_.push_back(std::move(*entry));
    received_at_.push_back(sassafraswick::monotonic_clock::now());
    applied_ = log_.size();
    changed_.NotifyAll();
  }
  return true;
}

void instance::StepDown(term_number term) {
  term_ = term;
  is_primary_ = false;
  changed_.NotifyAll();
}

void instance::TruncateTo(log_position end) {
  if (end >= log_.size()) {
    return;
  }
  log_.resize(end);
  received_at_.resize(end);
  std::erase_if(history_, [end](const sassafraswick::term_start& start) {
    return start.position >= end && start.term != 1;
  });
  if (applied_ > end) {
    engine_.Clear();
    for (const log_entry& entry : log_) {
      engine_.Apply(entry);
    }
    applied_ = end;
  }
}

boost::asio::awaitable<void> instance::ApplyEntries() {
  while (true) {
    const time_point now = sassafraswick::monotonic_clock::now();
    while (!is_primary_ && applied_ < log_.size() &&
           received_at_[applied_] + runtime_settings_.apply_delay <= now) {
      engine_.Apply(log_[applied_]);
      ++applied_;
      changed_.NotifyAll();
    }
    if (applied_ >= freshness_position_) {
      fresh_as_of_ = std::max(fresh_as_of_, pending_fresh_as_of_);
    }
    const bool waiting_for_delay = !is_primary_ && applied_ < log_.size();
    co_await changed_.Wait(waiting_for_delay ? kApplyPollInterval
                                             : kIdleApplyInterval);
  }
}

}  // namespace standin
