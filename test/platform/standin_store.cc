#include "test/platform/standin_store.h"

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "sassafraswick/store/base64.h"

namespace test_platform {
namespace {

namespace json = boost::json;
using sassafraswick::DecodeBase64;
using sassafraswick::EncodeBase64;
using sassafraswick::monotonic_clock;

constexpr int kNotFound = 404;
constexpr int kHistoryLost = 410;
constexpr int kPreconditionFailed = 412;
constexpr int kUnavailable = 503;

/// Value of a query parameter; empty if it is missing.
std::string QueryParameter(const std::string& target, const std::string& name) {
  const std::size_t question = target.find('?');
  std::size_t at = question;
  while (at != std::string::npos) {
    const std::size_t begin = at + 1;
    const std::size_t end = std::min(target.find('&', begin), target.size());
    const std::string field = target.substr(begin, end - begin);
    if (field.starts_with(name + "=")) {
      return field.substr(name.size() + 1);
    }
    at = end < target.size() ? end : std::string::npos;
  }
  return {};
}

std::int64_t ToNumber(const std::string& text) {
  return text.empty() ? 0 : std::stoll(text);
}

}  // namespace

store_response standin_store::HandleRequest(const std::string& method,
                                            const std::string& target,
                                            const std::string& body) {
  std::unique_lock<std::mutex> lock(mutex_);
  if (silent_) {
    return {.lost = true};
  }
  store_response response = Respond(lock, method, target, body);
  response.era = era_;
  const bool is_lost_commit = loses_commits_ && target == "/kv-txn";
  response.lost = response.lost || silent_ || is_lost_commit;
  return response;
}

store_response standin_store::Respond(std::unique_lock<std::mutex>& lock,
                                      const std::string& method,
                                      const std::string& target,
                                      const std::string& body) {
  ExpireLeases();
  if (down_ || stopped_) {
    return {kUnavailable, "{}"};
  }
  const std::string path = target.substr(0, target.find('?'));
  if (path == "/kv-range") {
    return Range(QueryParameter(target, "prefix"));
  }
  if (path == "/kv-watch") {
    return Watch(
        lock, QueryParameter(target, "prefix"),
        ToNumber(QueryParameter(target, "after")),
        std::chrono::milliseconds(ToNumber(QueryParameter(target, "wait_ms"))));
  }
  if (path == "/kv-txn" && method == "POST") {
    return Transact(body);
  }
  if (path == "/kv-lease") {
    return GrantLease(body);
  }
  if (path.starts_with("/kv-keep/")) {
    return KeepLease(std::stoull(path.substr(std::string("/kv-keep/").size())));
  }
  return {kNotFound, "{}"};
}

void standin_store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Write(key, value, 0);
}

void standin_store::Delete(const std::string& key) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Erase(key);
}

std::string standin_store::Value(const std::string& key) {
  const std::lock_guard<std::mutex> lock(mutex_);
  ExpireLeases();
  const auto found = items_.find(key);
  return found == items_.end() ? std::string() : found->second.value;
}

std::size_t standin_store::WaitingWatches() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return waiting_watches_;
}

void standin_store::MakeCopy() {
  const std::lock_guard<std::mutex> lock(mutex_);
  ExpireLeases();
  copy_ = {items_, leases_, revision_, next_lease_};
}

void standin_store::RestoreCopy() {
  const std::lock_guard<std::mutex> lock(mutex_);
  items_ = copy_.items;
  leases_ = copy_.leases;
  revision_ = copy_.revision;
  next_lease_ = copy_.next_lease;
  for (std::pair<const std::uint64_t, lease>& each : leases_) {
    each.second.expires_at = monotonic_clock::now() + each.second.ttl;
  }
  events_.clear();
  ++era_;
  changed_.notify_all();
}

void standin_store::SetDown(bool down) {
  const std::lock_guard<std::mutex> lock(mutex_);
  down_ = down;
  changed_.notify_all();
}

void standin_store::SetSilent(bool silent) {
  const std::lock_guard<std::mutex> lock(mutex_);
  silent_ = silent;
}

void standin_store::LoseCommits(bool lost) {
  const std::lock_guard<std::mutex> lock(mutex_);
  loses_commits_ = lost;
}

void standin_store::LoseWaitingWatches() {
  const std::lock_guard<std::mutex> lock(mutex_);
  ++watch_losses_;
}

void standin_store::Stop() {
  const std::lock_guard<std::mutex> lock(mutex_);
  stopped_ = true;
  changed_.notify_all();
}

store_response standin_store::Range(const std::string& prefix) {
  json::array items;
  for (const std::pair<const std::string, stored_item>& entry : items_) {
    if (entry.first.starts_with(prefix)) {
      items.push_back({{"key", entry.first},
                       {"value", EncodeBase64(entry.second.value)},
                       {"revision", entry.second.revision},
                       {"created", entry.second.created},
                       {"lease", entry.second.lease}});
    }
  }
  const json::object page = {
      {"items", items}, {"has_more", false}, {"store_revision", revision_}};
  return {200, json::serialize(page)};
}

store_response standin_store::Watch(std::unique_lock<std::mutex>& lock,
                                    const std::string& prefix,
                                    std::int64_t after,
                                    std::chrono::milliseconds wait) {
  const sassafraswick::time_point deadline = monotonic_clock::now() + wait;
  constexpr std::chrono::milliseconds kPollInterval(20);
  if (after > revision_) {
    return {kHistoryLost, "{}"};
  }
  json::array found;
  const std::uint64_t watch_losses = watch_losses_;
  // What is written after the last look at the events belongs to the next
  // watch.
  std::int64_t seen_revision = after;
  const std::uint64_t era = era_;
  ++waiting_watches_;
  while (found.empty() && !down_ && !stopped_ &&
         monotonic_clock::now() < deadline) {
    seen_revision = revision_;
    for (const event& each : events_) {
      if (each.revision <= after || !each.key.starts_with(prefix)) {
        continue;
      }
      json::object row = {{"key", each.key}, {"revision", each.revision}};
      if (each.deleted) {
        row["deleted"] = true;
      } else {
        row["value"] = EncodeBase64(each.item.value);
        row["lease"] = each.item.lease;
      }
      found.push_back(row);
    }
    if (found.empty()) {
      changed_.wait_for(lock, kPollInterval);
      ExpireLeases();
    }
  }
  --waiting_watches_;
  if (down_ || stopped_) {
    return {kUnavailable, "{}"};
  }
  const std::int64_t revision = era == era_ ? seen_revision : revision_;
  const json::object page = {{"events", found}, {"store_revision", revision}};
  return {.body = json::serialize(page), .lost = watch_losses != watch_losses_};
}

store_response standin_store::Transact(const std::string& body) {
  const json::object request = json::parse(body).as_object();
  for (const json::value& row : request.at("expected_revision").as_array()) {
    const auto found = items_.find(std::string(row.at("key").as_string()));
    const std::int64_t current_revision =
        found == items_.end() ? 0 : found->second.revision;
    if (current_revision != row.at("revision").to_number<std::int64_t>()) {
      return {kPreconditionFailed, "{\"items\":[]}"};
    }
  }
  for (const json::value& row : request.at("writes").as_array()) {
    const std::uint64_t lease_id = row.at("lease").to_number<std::uint64_t>();
    if (lease_id != 0 && !leases_.contains(lease_id)) {
      return {kNotFound, "{}"};
    }
    Write(std::string(row.at("key").as_string()),
          DecodeBase64(std::string(row.at("value").as_string())), lease_id);
  }
  for (const json::value& key : request.at("deletes").as_array()) {
    Erase(std::string(key.as_string()));
  }
  return {200, json::serialize(json::object{{"revision", revision_}})};
}

store_response standin_store::GrantLease(const std::string& body) {
  const json::object request = json::parse(body).as_object();
  const std::chrono::milliseconds ttl(
      request.at("ttl_ms").to_number<std::int64_t>());
  const std::uint64_t id = next_lease_++;
  leases_[id] = {ttl, monotonic_clock::now() + ttl};
  const json::object response = {{"lease", id}, {"ttl_ms", ttl.count()}};
  return {200, json::serialize(response)};
}

store_response standin_store::KeepLease(std::uint64_t id) {
  const auto found = leases_.find(id);
  if (found == leases_.end()) {
    return {kNotFound, "{}"};
  }
  found->second.expires_at = monotonic_clock::now() + found->second.ttl;
  return {200,
          json::serialize(json::object{{"ttl_ms", found->second.ttl.count()}})};
}

void standin_store::Write(const std::string& key, const std::string& value,
                          std::uint64_t lease_id) {
  stored_item& item = items_[key];
  item.value = value;
  item.revision = ++revision_;
  item.created = item.created == 0 ? revision_ : item.created;
  item.lease = lease_id;
  events_.push_back({revision_, key, false, item});
  changed_.notify_all();
}

void standin_store::Erase(const std::string& key) {
  if (items_.erase(key) > 0) {
    events_.push_back({++revision_, key, true, {}});
    changed_.notify_all();
  }
}

void standin_store::ExpireLeases() {
  const sassafraswick::time_point now = monotonic_clock::now();
  for (auto each = leases_.begin(); each != leases_.end();) {
    if (each->second.expires_at > now) {
      ++each;
      continue;
    }
    std::vector<std::string> expired_keys;
    for (const std::pair<const std::string, stored_item>& entry : items_) {
      if (entry.second.lease == each->first) {
        expired_keys.push_back(entry.first);
      }
    }
    for (const std::string& key : expired_keys) {
      Erase(key);
    }
    each = leases_.erase(each);
  }
}

}  // namespace test_platform
