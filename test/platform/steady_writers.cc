#include "test/platform/steady_writers.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <set>
#include <utility>

namespace test_platform {

using sassafraswick::monotonic_clock;
using sassafraswick::time_point;

steady_writers::steady_writers(const standin_platform& platform,
                               std::size_t gateways)
    : platform_(platform) {
  threads_.reserve(gateways);
  for (std::size_t i = 0; i < gateways; ++i) {
    threads_.emplace_back([this, i] { Run(i); });
  }
}

void steady_writers::Stop() {
  stopping_ = true;
  for (std::thread& thread : threads_) {
    thread.join();
  }
  threads_.clear();
}

void steady_writers::Run(std::size_t gateway) {
  constexpr std::chrono::milliseconds kThinkTime(10);
  std::unique_ptr<line_client> client;
  int number = 0;
  while (!stopping_) {
    test_support::Pause(kThinkTime);
    if (client == nullptr) {
      client = std::make_unique<line_client>(platform_.CallerPort(gateway));
      if (!client->Start("counter", "key-one").starts_with("READY")) {
        client.reset();
        continue;
      }
    }
    const std::string item =
        "steady" + std::to_string(gateway) + "-" + std::to_string(++number);
    const time_point sent_at = monotonic_clock::now();
    const std::string response = client->Run("WRITE " + item + " oak");
    if (response.starts_with("COMPLETE")) {
      const std::lock_guard<std::mutex> lock(mutex_);
      acknowledged_[item] = {sent_at, monotonic_clock::now()};
    } else if (response.find("READY") == std::string::npos) {
      client.reset();
    }
  }
}

std::size_t steady_writers::Acknowledged() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return acknowledged_.size();
}

std::optional<time_point> steady_writers::ServedSince(time_point begin) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::optional<time_point> first;
  for (const std::pair<const std::string, acknowledged_write>& each :
       acknowledged_) {
    if (each.second.sent_at >= begin) {
      first = std::min(first.value_or(each.second.acknowledged_at),
                       each.second.acknowledged_at);
    }
  }
  return first;
}

std::vector<std::string> steady_writers::MissingAt(standin_platform& platform,
                                                   std::size_t index) {
  std::set<std::string> present;
  for (const log_entry& entry : platform.Group().Log(index)) {
    present.insert(entry.item);
  }
  std::vector<std::string> missing;
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const std::pair<const std::string, acknowledged_write>& each :
       acknowledged_) {
    if (!present.contains(each.first)) {
      missing.push_back(each.first);
    }
  }
  return missing;
}

}  // namespace test_platform
