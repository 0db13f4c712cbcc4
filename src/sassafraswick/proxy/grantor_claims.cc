#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "sassafraswick/core/log.h"
#include "sassafraswick/proxy/fleet_service.h"

/// @file
/// Reads the grantor records of the shards in the platform's store and claims
/// shards without a live grantor.

namespace sassafraswick {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr duration kGrantorPollInterval = std::chrono::milliseconds(300);

/// The record of a shard's grantor, as stored.
struct grantor_record {
  std::uint32_t shard = 0;
  std::string host;
  std::uint64_t boot = 0;
};

std::string SerializeGrantor(const grantor_record& record) {
  return json::serialize(json::object{
      {"shard", record.shard}, {"host", record.host}, {"boot", record.boot}});
}

std::optional<grantor_record> ParseGrantor(const std::string& text) {
  boost::system::error_code invalid;
  const json::value parsed = json::parse(text, invalid);
  const json::object* const object = invalid ? nullptr : parsed.if_object();
  if (object == nullptr) {
    return std::nullopt;
  }
  const json::value* const shard = object->if_contains("shard");
  const json::value* const host = object->if_contains("host");
  const json::value* const boot = object->if_contains("boot");
  if (shard == nullptr || !shard->is_number() || host == nullptr ||
      !host->is_string() || boot == nullptr || !boot->is_number()) {
    return std::nullopt;
  }
  return grantor_record{shard->to_number<std::uint32_t>(),
                        std::string(host->as_string()),
                        boot->to_number<std::uint64_t>()};
}

/// Returns the time after which the predecessor must have stopped granting.
duration TakeoverDelay(const grantor_shard& predecessor,
                       const membership& fleet,
                       const grantor_settings& settings) {
  if (predecessor.host.empty()) {
    return duration::zero();
  }
  const auto found = fleet.members.find(predecessor.host);
  const bool stopped =
      found != fleet.members.end() &&
      (found->second.state == member_state::kLeaving ||
       (found->second.boot != 0 && found->second.boot != predecessor.boot));
  return stopped ? settings.handover_wait : settings.takeover_wait;
}

}  // namespace

asio::awaitable<void> fleet_service::PollGrantors() {
  while (true) {
    co_await Sleep(kGrantorPollInterval);
    const grantor_shards& shards = runtime_.Limits().Shards();
    bool refresh_needed = false;
    for (std::uint32_t i = 0; i < kGrantorShardCount; ++i) {
      refresh_needed = refresh_needed ||
                       shards[i].host == runtime_.Settings().host ||
                       ShouldClaim(shards[i], i, runtime_.Fleet());
    }
    if (!refresh_needed || runtime_.IsDraining()) {
      continue;
    }
    const bool refreshed = co_await RefreshGrantors();
    runtime_.Limits().SetStoreUnavailable(!refreshed);
    if (refreshed) {
      co_await ClaimShards();
    }
  }
}

asio::awaitable<bool> fleet_service::RefreshGrantors() {
  const time_point requested_at = monotonic_clock::now();
  const result<std::vector<stored_record>> records =
      co_await store_.List(std::string(kGrantorPrefix));
  if (!records) {
    co_return false;
  }
  runtime_.RecordStoreContact(monotonic_clock::now());
  grantor_shards& shards = runtime_.Limits().Shards();
  for (const stored_record& record : records.value()) {
    const std::optional<grantor_record> parsed = ParseGrantor(record.value);
    if (!parsed.has_value() || parsed->shard >= kGrantorShardCount) {
      continue;
    }
    shard_revisions_[parsed->shard] = record.revision;
    grantor_shard& shard = shards[parsed->shard];
    const grantor_epoch epoch = static_cast<grantor_epoch>(record.revision);
    UpdateGrantor(shard, epoch, parsed->host, parsed->boot);
    if (shard.epoch == epoch) {
      shard.confirmed_at = requested_at;
    }
  }
  co_return true;
}

asio::awaitable<void> fleet_service::ClaimShards() {
  grantor_shards& shards = runtime_.Limits().Shards();
  const grantor_settings settings;
  for (std::uint32_t i = 0; i < kGrantorShardCount; ++i) {
    const grantor_shard predecessor = shards[i];
    if (!ShouldClaim(predecessor, i, runtime_.Fleet())) {
      continue;
    }
    const std::int64_t expected =
        shard_revisions_.contains(i) ? shard_revisions_[i] : 0;
    const std::string key = std::string(kGrantorPrefix) + std::to_string(i);
    const grantor_record record{i, runtime_.Settings().host,
                                link_.Identity().boot};
    conditional_write write;
    write.key = key;
    write.expected_revision = expected;
    write.writes.push_back({key, SerializeGrantor(record)});
    const result<bool> written = co_await store_.Write(std::move(write));
    if (!written || !written.value()) {
      continue;
    }
    if (!co_await RefreshGrantors()) {
      co_return;
    }
    const bool won = shards[i].host == runtime_.Settings().host &&
                     shards[i].epoch > predecessor.epoch;
    if (won) {
      runtime_.Limits().StartGranting(
          i, expected == 0, predecessor.epoch,
          TakeoverDelay(predecessor, runtime_.Fleet(), settings),
          monotonic_clock::now());
    }
  }
}

}  // namespace sassafraswick
