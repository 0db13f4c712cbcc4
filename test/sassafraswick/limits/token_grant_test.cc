#include "sassafraswick/limits/token_grant.h"

#include <catch2/catch.hpp>
#include <deque>
#include <random>
#include <vector>

#include "test/sassafraswick/failover/group_builder.h"

namespace sassafraswick {
namespace {

constexpr rate_limit kLimit{100, 20};

/// A message between a host and the grantor, in virtual time.
struct message {
  time_point due;
  time_point requested_at;
  std::size_t host = 0;
  std::string host_key;
  token_need need;
  token_share share;
  bool is_response = false;
};

/// Simulates hosts, a grantor and a network that loses, delays and duplicates
/// messages.
class token_simulation {
 public:
  token_simulation(std::uint64_t seed, std::size_t hosts)
      : random_(seed), allowances_(hosts), boots_(hosts, 1) {
    bucket_.level = kLimit.burst;
    bucket_.refilled_at = At(0);
  }

  void Run(std::chrono::milliseconds length) {
    for (std::chrono::milliseconds now(0); now < length;
         now += std::chrono::milliseconds(1)) {
      now_ = At(now);
      Deliver();
      for (std::size_t host = 0; host < allowances_.size(); ++host) {
        StepHost(host);
      }
      if (random_() % 3000 == 0) {
        ReplaceGrantor();
      }
    }
  }

  /// Returns the largest excess over rate x window + burst in any window.
  [[nodiscard]] double WorstExcess() const {
    double worst = 0;
    for (std::size_t first = 0; first < admitted_.size(); ++first) {
      for (std::size_t last = first; last < admitted_.size(); ++last) {
        const double window =
            ToMilliseconds(admitted_[last] - admitted_[first]) / 1000.0;
        const double count = static_cast<double>(last - first + 1);
        worst = std::max(worst, count - window * kLimit.rate - kLimit.burst);
      }
    }
    return worst;
  }

  [[nodiscard]] std::size_t Admitted() const { return admitted_.size(); }

 private:
  void StepHost(std::size_t host) {
    token_allowance& allowance = allowances_[host];
    if (random_() % 5000 == 0) {
      allowance = token_allowance();
      ++boots_[host];
    }
    if (now_ < paused_until_) {
      return;
    }
    if (random_() % 4000 == 0) {
      paused_until_ = now_ + std::chrono::milliseconds(random_() % 2500);
    }
    if (random_() % 4 == 0 && TrySpend(allowance, now_)) {
      admitted_.push_back(now_);
    }
    if (random_() % 10 == 0) {
      ExpireTokens(allowance, now_);
      if (random_() % 10 == 0) {
        ReturnUnspent(allowance, now_);
      }
      message request;
      request.requested_at = now_;
      request.host = host;
      request.host_key =
          std::to_string(host) + "/" + std::to_string(boots_[host]);
      request.need = {allowance.epoch, allowance.spent, allowance.returned,
                      random_() % 20};
      Send(request);
    }
  }

  void Send(message sent) {
    const std::uint64_t outcome = random_() % 10;
    const std::uint64_t copies = outcome == 0 ? 0 : (outcome == 1 ? 2 : 1);
    for (std::uint64_t i = 0; i < copies; ++i) {
      sent.due = now_ + std::chrono::milliseconds(random_() % 30);
      network_.push_back(sent);
    }
  }

  void Deliver() {
    for (std::size_t i = 0; i < network_.size();) {
      if (network_[i].due > now_) {
        ++i;
        continue;
      }
      message arrived = network_[i];
      network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(i));
      if (arrived.is_response) {
        const bool same_boot =
            arrived.host_key == std::to_string(arrived.host) + "/" +
                                    std::to_string(boots_[arrived.host]);
        if (same_boot) {
          ApplyShare(allowances_[arrived.host], arrived.share,
                     arrived.requested_at);
        }
      } else if (now_ >= active_from_) {
        arrived.share = Grant(bucket_, kLimit, epoch_, arrived.host_key,
                              arrived.need, now_);
        arrived.is_response = true;
        Send(arrived);
      }
    }
  }

  /// Replaces the grantor. The successor waits until all outstanding tokens
  /// have expired. It starts with the bucket that was handed over or an empty
  /// one.
  void ReplaceGrantor() {
    if (now_ < active_from_) {
      return;
    }
    ++epoch_;
    active_from_ = now_ + kTokenLease + kTokenLeaseMargin;
    if (random_() % 2 == 0) {
      bucket_ = RestoreBucket(HandOver(bucket_, kLimit, now_), kLimit, now_,
                              active_from_);
    } else {
      bucket_ = token_bucket();
      bucket_.refilled_at = active_from_;
    }
  }

  std::mt19937_64 random_;
  time_point now_;
  time_point active_from_ = At(0);
  time_point paused_until_;
  grantor_epoch epoch_ = 1;
  token_bucket bucket_;
  std::vector<token_allowance> allowances_;
  std::vector<std::uint64_t> boots_;
  std::vector<message> network_;
  std::vector<time_point> admitted_;
};

TEST_CASE("no window admits more than rate and burst despite message loss",
          "[tokens]") {
  const std::uint64_t seed = GENERATE(range(1, 21));
  token_simulation simulation(seed, 5);
  simulation.Run(std::chrono::seconds(8));
  INFO("seed " << seed << ", admitted " << simulation.Admitted());
  CHECK(simulation.WorstExcess() <= 0.0);
  CHECK(simulation.Admitted() > 50);
}

TEST_CASE("tokens move to the host that needs them", "[tokens]") {
  token_bucket bucket;
  bucket.level = kLimit.burst;
  bucket.refilled_at = At(0);
  token_allowance first;
  ApplyShare(first, Grant(bucket, kLimit, 1, "a/1", {0, 0, 0, 20}, At(0)),
             At(0));
  CHECK(Unspent(first, At(1)) == 20);
  const token_share rejected =
      Grant(bucket, kLimit, 1, "b/1", {0, 0, 0, 1}, At(1));
  CHECK(rejected.granted == 0);
  CHECK(rejected.retry_after > duration::zero());
  ReturnUnspent(first, At(2));
  static_cast<void>(Grant(bucket, kLimit, 1, "a/1",
                          {1, first.spent, first.returned, 0}, At(2)));
  CHECK(Grant(bucket, kLimit, 1, "b/1", {1, 0, 0, 20}, At(2)).granted == 20);
}

TEST_CASE("expired tokens do not become valid by a later lease", "[tokens]") {
  token_allowance allowance;
  ApplyShare(allowance, {1, 10, duration::zero()}, At(0));
  CHECK(Unspent(allowance, At(999)) == 10);
  CHECK(Unspent(allowance, At(1000)) == 0);
  ExpireTokens(allowance, At(1500));
  ApplyShare(allowance, {1, 13, duration::zero()}, At(1500));
  CHECK(Unspent(allowance, At(1501)) == 3);
}

}  // namespace
}  // namespace sassafraswick
