#include "sassafraswick/gateway/connection_borrower.h"

#include <algorithm>
#include <utility>

#include "sassafraswick/core/log.h"
#include "sassafraswick/lending/lend_verdict.h"

namespace sassafraswick {
namespace {

namespace asio = boost::asio;

duration Until(time_point deadline) {
  const duration left =
      std::chrono::duration_cast<duration>(deadline - monotonic_clock::now());
  return std::max(left, duration::zero());
}

}  // namespace

borrowed_connection::borrowed_connection(connection_borrower& borrower,
                                         std::string pool, std::string instance,
                                         std::vector<std::string> homes,
                                         lease_request request)
    : borrower_(borrower),
      owner_(borrower.weak_from_this()),
      pool_(std::move(pool)),
      instance_(std::move(instance)),
      homes_(std::move(homes)),
      request_(std::move(request)),
      changed_(borrower.executor_) {}

borrowed_connection::~borrowed_connection() {
  if (!owner_.expired()) {
    Abandon();
  }
}

bool borrowed_connection::ChooseNext() {
  Abandon();
  const time_point now = monotonic_clock::now();
  while (true) {
    const home_choice choice = ChooseHome(homes_, next_home_, borrower_.Host(),
                                          borrower_.Homes(), now);
    next_home_ = choice.next;
    is_served_here_ = choice.step == home_step::kServe;
    if (choice.step != home_step::kBorrow) {
      return false;
    }
    const std::optional<endpoint> address =
        borrower_.environment_.find_address(choice.home);
    const bool refused = borrower_.HasRefused(choice.home, instance_, now);
    if (address.has_value() && !refused) {
      home_ = choice.home;
      address_ = *address;
      return true;
    }
  }
}

void borrowed_connection::Ask(const message::lent_batch* batch,
                              time_point deadline) {
  lease_ = ++borrower_.last_lease_;
  borrower_.leases_[lease_] = this;
  sequence_ = 0;
  message::envelope envelope;
  message::lend_request& asked = *envelope.mutable_lend_request();
  asked.set_lease(lease_);
  asked.set_pool(pool_);
  asked.set_instance(instance_);
  asked.set_organisation(request_.organisation);
  asked.set_use(static_cast<std::uint32_t>(request_.use));
  asked.set_priority(request_.priority);
  asked.set_time_left_us(static_cast<std::uint64_t>(Until(deadline).count()));
  if (batch != nullptr) {
    *asked.mutable_batch() = *batch;
    asked.mutable_batch()->set_lease(lease_);
    asked.mutable_batch()->set_sequence(++sequence_);
  }
  ++borrower_.counters_.leases_requested;
  borrower_.environment_.send(address_, std::move(envelope));
}

asio::awaitable<borrow_outcome> borrowed_connection::Acquire() {
  while (ChooseNext()) {
    if (request_.use == lease_use::kSingleRead) {
      co_return borrow_outcome::kGranted;
    }
    Ask(nullptr, request_.deadline);
    const bool answered = co_await AwaitAnswer(request_.deadline);
    if (!answered) {
      continue;
    }
    while (ReadVerdict(answer_->verdict()) == lend_verdict::kQueued &&
           monotonic_clock::now() < request_.deadline) {
      co_await changed_.Wait(Until(request_.deadline));
    }
    const lend_verdict verdict = ReadVerdict(answer_->verdict());
    if (verdict == lend_verdict::kGranted) {
      co_return borrow_outcome::kGranted;
    }
    if (verdict != lend_verdict::kNotLending) {
      const bool rejected = verdict == lend_verdict::kRejected;
      retry_after_ = duration(static_cast<std::int64_t>(answer_->wait_us()));
      Log(rejected ? std::string_view(answer_->reason()) : "no grant in time");
      Close();
      co_return borrow_outcome::kRejected;
    }
    Log(answer_->reason());
    ++borrower_.counters_.home_failovers;
    borrower_.RecordRefusal(home_, instance_);
  }
  is_over_ = true;
  co_return is_served_here_ ? borrow_outcome::kServeHere
                            : borrow_outcome::kUnavailable;
}

asio::awaitable<lent_response> borrowed_connection::Exchange(std::string bytes,
                                                             std::size_t count,
                                                             duration timeout) {
  const time_point deadline = monotonic_clock::now() + timeout;
  const std::shared_ptr<borrowed_connection> self = shared_from_this();
  message::lent_batch batch;
  batch.set_bytes(std::move(bytes));
  batch.set_count(static_cast<std::uint32_t>(count));
  batch.set_timeout_us(static_cast<std::uint64_t>(timeout.count()));
  ++borrower_.counters_.batches_sent_home;
  if (is_over_) {
    co_return Fail("the lease has ended");
  }
  if (request_.use == lease_use::kSingleRead) {
    co_return co_await RunSingle(std::move(batch), deadline);
  }
  batch.set_lease(lease_);
  batch.set_sequence(++sequence_);
  message::envelope envelope;
  *envelope.mutable_lent_batch() = std::move(batch);
  result_.reset();
  borrower_.environment_.send(address_, std::move(envelope));
  co_await AwaitResult(deadline);
  co_return TakeResult();
}

asio::awaitable<lent_response> borrowed_connection::RunSingle(
    message::lent_batch batch, time_point deadline) {
  const time_point start_by = std::min(deadline, request_.deadline);
  do {
    Ask(&batch, start_by);
    const bool answered = co_await AwaitAnswer(deadline);
    if (is_over_) {
      co_return Fail("given up");
    }
    if (!answered) {
      continue;
    }
    co_await AwaitResult(deadline);
    if (result_.has_value() || is_over_ || !answer_.has_value()) {
      co_return TakeResult();
    }
    const lend_verdict verdict = ReadVerdict(answer_->verdict());
    if (verdict == lend_verdict::kRejected) {
      const duration retry_after =
          duration(static_cast<std::int64_t>(answer_->wait_us()));
      const std::string reason = answer_->reason();
      lent_response rejected = Fail(reason);
      rejected.retry_after = retry_after;
      rejected.rejected = true;
      co_return rejected;
    }
    if (verdict != lend_verdict::kNotLending) {
      co_return Fail("no result in time");
    }
    Log(answer_->reason());
    ++borrower_.counters_.home_failovers;
    borrower_.RecordRefusal(home_, instance_);
  } while (ChooseNext());
  co_return Fail("no home lends a connection");
}

asio::awaitable<bool> borrowed_connection::AwaitAnswer(time_point deadline) {
  const time_point silent_at = monotonic_clock::now() + kHomeAnswerTimeout;
  while (!answer_.has_value() && !result_.has_value() && !is_over_) {
    const time_point now = monotonic_clock::now();
    if (now >= silent_at) {
      borrower_.homes_.RecordSilence(home_, now);
      ++borrower_.counters_.home_failovers;
      Log("silent");
      co_return false;
    }
    if (now >= deadline) {
      answer_.emplace();
      break;
    }
    co_await changed_.Wait(Until(std::min(silent_at, deadline)));
  }
  co_return true;
}

asio::awaitable<void> borrowed_connection::AwaitResult(time_point deadline) {
  while (!result_.has_value() && !is_over_ &&
         monotonic_clock::now() < deadline) {
    const bool not_run =
        answer_.has_value() &&
        (ReadVerdict(answer_->verdict()) == lend_verdict::kRejected ||
         ReadVerdict(answer_->verdict()) == lend_verdict::kNotLending);
    if (not_run) {
      break;
    }
    co_await changed_.Wait(Until(deadline));
  }
}

lent_response borrowed_connection::TakeResult() {
  if (!result_.has_value()) {
    return Fail("no result in time");
  }
  lent_response response;
  if (result_->not_run()) {
    return Fail("not run by the home");
  }
  response.bytes = std::move(*result_->mutable_bytes());
  response.closed = result_->closed();
  if (response.bytes.empty()) {
    Log(response.closed ? "the instance ended the connection"
                        : "no answer from the instance");
  }
  if (result_->ended()) {
    borrower_.leases_.erase(lease_);
    lease_ = 0;
    is_over_ = true;
  }
  return response;
}

lent_response borrowed_connection::Fail(std::string_view reason) {
  lent_response response;
  response.home_failed = true;
  Log(reason);
  Close();
  return response;
}

void borrowed_connection::Abandon() {
  if (lease_ != 0) {
    borrower_.leases_.erase(lease_);
    borrower_.SendRelease(address_, lease_);
    lease_ = 0;
  }
  answer_.reset();
  result_.reset();
}

void borrowed_connection::Close() {
  is_over_ = true;
  Abandon();
  changed_.NotifyAll();
}

void borrowed_connection::Log(std::string_view reason) const {
  ++borrower_.counters_.lease_failures[std::string(reason)];
  sassafraswick::Log(log_level::kInfo, "lease_failed",
                     {{"request", request_.request},
                      {"pool", pool_},
                      {"target", instance_},
                      {"home", home_},
                      {"reason", std::string(reason)}});
}

void borrowed_connection::OnAnswer(const message::lend_answer& answer) {
  answer_ = answer;
  changed_.NotifyAll();
}

void borrowed_connection::OnResult(const message::lent_result& result) {
  if (result.sequence() == sequence_) {
    result_ = result;
    changed_.NotifyAll();
  }
}

void connection_borrower::HandleAnswer(const message::envelope& received) {
  const message::lend_answer& answer = received.lend_answer();
  const auto found = leases_.find(answer.lease());
  if (found != leases_.end()) {
    found->second->OnAnswer(answer);
    return;
  }
  if (ReadVerdict(answer.verdict()) != lend_verdict::kGranted) {
    return;
  }
  const std::optional<endpoint> home =
      environment_.find_address(received.host());
  if (home.has_value()) {
    SendRelease(*home, answer.lease());
  }
}

void connection_borrower::HandleResult(const message::envelope& received) {
  const auto found = leases_.find(received.lent_result().lease());
  if (found != leases_.end()) {
    found->second->OnResult(received.lent_result());
  }
}

void connection_borrower::RecordRefusal(const std::string& home,
                                        const std::string& instance) {
  const time_point now = monotonic_clock::now();
  std::erase_if(
      refused_until_,
      [now](const std::pair<const home_and_instance, time_point>& each) {
        return now >= each.second;
      });
  refused_until_[{home, instance}] = now + kSilentHomeRetryInterval;
}

bool connection_borrower::HasRefused(const std::string& home,
                                     const std::string& instance,
                                     time_point now) const {
  const auto found = refused_until_.find({home, instance});
  return found != refused_until_.end() && now < found->second;
}

void connection_borrower::SendRelease(const endpoint& home,
                                      std::uint64_t lease) {
  message::envelope envelope;
  envelope.mutable_lend_release()->set_lease(lease);
  environment_.send(home, std::move(envelope));
}

}  // namespace sassafraswick
