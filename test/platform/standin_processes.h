#ifndef TEST_PLATFORM_STANDIN_PROCESSES_H_
#define TEST_PLATFORM_STANDIN_PROCESSES_H_

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/json.hpp>
#include <optional>
#include <utility>

#include "test/platform/standin_platform.h"

/// @file
/// Starts and ends of the stand-in platform's instances, their entries in the
/// store and their promotions. Included by `standin_platform.cc` only, which
/// programs outside this build compile, too.

namespace test_platform {

namespace json = boost::json;
using sassafraswick::monotonic_clock;
using sassafraswick::time_point;

listening_socket standin_platform::Listen(std::uint16_t port) {
  listening_socket listener;
  listener.descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener.descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in wanted = test_support::LoopbackAddress(port);
  static_cast<void>(bind(listener.descriptor,
                         reinterpret_cast<const sockaddr*>(&wanted),
                         sizeof(wanted)));
  listen(listener.descriptor, SOMAXCONN);
  sockaddr_in bound{};
  socklen_t size = sizeof(bound);
  getsockname(listener.descriptor, reinterpret_cast<sockaddr*>(&bound), &size);
  listener.port = ntohs(bound.sin_port);
  return listener;
}

void standin_platform::PublishEntry(std::size_t index) {
  const std::lock_guard<std::mutex> order(entries_mutex_);
  const instance_process process = group_.Process(index);
  if (!process.running) {
    return;
  }
  bool draining = false;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    draining = draining_.contains(index);
  }
  const std::string address =
      "127.0.0.1:" + std::to_string(instance_ports_.at(index));
  const json::object entry = {
      {"service", group_.Name()},
      {"address", address},
      {"zone", "zone-" + std::to_string(index)},
      {"slots", 3},
      {"state", draining ? "draining" : "ready"},
      {"db_role", process.primary ? "primary" : "replica"},
      {"born", process.born}};
  store_.Put("servers/" + process.id, json::serialize(entry));
  published_roles_[process.id] = process.primary;
}

void standin_platform::PublishEntries() {
  for (std::size_t i = 0; i < group_.Size(); ++i) {
    PublishEntry(i);
  }
}

void standin_platform::ExpireEntry(std::size_t index) {
  store_.Delete("servers/" + group_.Process(index).id);
}

void standin_platform::KeepEntries() {
  constexpr std::chrono::milliseconds kInterval(20);
  std::map<std::string, time_point> first_running;
  std::map<std::string, time_point> last_running;
  while (!stopped_) {
    const time_point now = monotonic_clock::now();
    for (std::size_t i = 0; i < group_.Size(); ++i) {
      const instance_process process = group_.Process(i);
      if (!process.running) {
        continue;
      }
      last_running[process.id] = now;
      const time_point due =
          first_running.try_emplace(process.id, now).first->second +
          options_.entry_delay;
      bool is_published = false;
      {
        const std::lock_guard<std::mutex> order(entries_mutex_);
        const auto role = published_roles_.find(process.id);
        is_published =
            role != published_roles_.end() && role->second == process.primary;
      }
      if (!is_published && now >= due) {
        PublishEntry(i);
      }
    }
    for (const std::pair<const std::string, time_point>& each : last_running) {
      const std::string key = "servers/" + each.first;
      if (now - each.second >= options_.entry_lifetime &&
          !store_.Value(key).empty()) {
        const std::lock_guard<std::mutex> order(entries_mutex_);
        if (!group_.IsRunning(each.first)) {
          store_.Delete(key);
        }
      }
    }
    test_support::Pause(kInterval);
  }
}

store_response standin_platform::HandlePromotion(promotion_request request) {
  constexpr int kNotRunning = 409;
  const std::optional<std::int64_t> born = group_.RunningSince(request.id);
  request.accepted = born.has_value();
  const std::lock_guard<std::mutex> lock(mutex_);
  promotion_requests_.push_back(request);
  if (!born.has_value()) {
    return {.status = kNotRunning, .lost = loses_promotion_responses_};
  }
  request_handling handling;
  if (!next_promotions_.empty()) {
    handling = next_promotions_.front();
    next_promotions_.pop_front();
  }
  threads_.emplace_back([this, number = promotion_requests_.size() - 1,
                         born = *born,
                         delay = options_.promotion_delay + handling.lateness] {
    PromoteLater(number, born, delay);
  });
  return {.lost = handling.loses_response || loses_promotion_responses_};
}

void standin_platform::PromoteLater(std::size_t request, std::int64_t born,
                                    std::chrono::milliseconds delay) {
  const time_point due = monotonic_clock::now() + delay;
  constexpr std::chrono::milliseconds kPollInterval(5);
  while (!stopped_ && monotonic_clock::now() < due) {
    test_support::Pause(kPollInterval);
  }
  if (stopped_) {
    return;
  }
  std::string id;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    id = promotion_requests_.at(request).id;
  }
  static_cast<void>(group_.Promote(id, born));
  PublishEntries();
  const std::lock_guard<std::mutex> lock(mutex_);
  promotion_requests_.at(request).done_at = monotonic_clock::now();
}

void standin_platform::HandleNextPromotions(
    const std::vector<request_handling>& handling) {
  const std::lock_guard<std::mutex> lock(mutex_);
  next_promotions_.assign(handling.begin(), handling.end());
}

std::vector<promotion_request> standin_platform::PromotionRequests() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return promotion_requests_;
}

std::vector<std::string> standin_platform::Promotions() {
  std::vector<std::string> accepted;
  for (const promotion_request& each : PromotionRequests()) {
    if (each.accepted) {
      accepted.push_back(each.id);
    }
  }
  return accepted;
}

void standin_platform::Crash(std::size_t index) {
  bool was_running = false;
  group_.Modify(index, [&was_running](group_instance& each) {
    was_running = std::exchange(each.running, false);
  });
  if (!was_running) {
    return;
  }
  shutdown(instances_.at(index).descriptor, SHUT_RDWR);
  close(instances_.at(index).descriptor);
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const int descriptor : instance_connections_.at(index)) {
    shutdown(descriptor, SHUT_RDWR);
  }
}

void standin_platform::Restart(std::size_t index, instance_start start) {
  if (!group_.Restart(index, start)) {
    return;
  }
  const listening_socket listener = Listen(instances_.at(index).port);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    instances_.at(index) = listener;
    threads_.emplace_back(
        [this, index, listener] { Accept(listener, index, true); });
  }
  if (options_.entry_delay == std::chrono::milliseconds(0)) {
    PublishEntry(index);
  }
}

void standin_platform::SetDraining(std::size_t index, bool draining) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (draining) {
      draining_.insert(index);
    } else {
      draining_.erase(index);
    }
  }
  PublishEntry(index);
}

}  // namespace test_platform

#endif  // TEST_PLATFORM_STANDIN_PROCESSES_H_
