#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "sassafraswick/core/log.h"
#include "sassafraswick/failover/group_contract.h"
#include "sassafraswick/proxy/target_pool.h"

/// @file
/// Status requests and failover commands that a pool sends to its instances.

namespace sassafraswick {
namespace {

namespace asio = boost::asio;

constexpr duration kConnectTimeout = std::chrono::milliseconds(300);
/// Time beyond the heartbeat interval after which a status request times out.
constexpr duration kStatusResponseGrace = std::chrono::milliseconds(200);
/// Minimum time between two status requests while no write waits to be
/// acknowledged.
constexpr duration kMinStatusInterval = std::chrono::milliseconds(10);
constexpr duration kReconnectDelay = std::chrono::milliseconds(30);
constexpr duration kCommandTimeout = std::chrono::milliseconds(700);

contact_result ContactResultOf(const error& failure) {
  return failure.kind == error_kind::kClosed ? contact_result::kRefused
                                             : contact_result::kSilent;
}

}  // namespace

asio::awaitable<void> target_pool::WatchInstance(instance_index instance) {
  const std::shared_ptr<target_pool> self = shared_from_this();
  while (!IsDone()) {
    result<std::shared_ptr<target_connection>> opened =
        co_await target_connection::Open(group_.instances[instance].address,
                                         instance, Credentials(),
                                         kConnectTimeout);
    result<void> status = boost::outcome_v2::success();
    if (!opened) {
      status = opened.error();
    }
    while (status && !IsDone()) {
      status = co_await RequestStatus(instance, *opened.value());
    }
    if (!status) {
      RecordFailure(group_, instance, ContactResultOf(status.error()));
      OnGroupChanged();
    }
    co_await Sleep(kReconnectDelay);
  }
}

asio::awaitable<result<void>> target_pool::RequestStatus(
    instance_index instance, target_connection& connection) {
  const std::optional<instance_report>& last_report =
      group_.instances[instance].report;
  const log_position known_end =
      last_report.has_value() ? last_report->log_end.position : 0;
  const time_point requested_at = monotonic_clock::now();
  const std::chrono::milliseconds max_wait =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          environment_.heartbeat_interval);
  const result<std::string> response = co_await connection.QueryValue(
      StatusQuery(known_end, max_wait),
      environment_.heartbeat_interval + kStatusResponseGrace);
  if (!response) {
    co_return response.error();
  }
  const result<instance_report> report = ParseReport(response.value());
  if (!report) {
    co_return report.error();
  }
  const time_point now = monotonic_clock::now();
  RecordReport(group_, instance, report.value(), requested_at, now);
  OnGroupChanged();
  if (pending_acknowledgements_ == 0 &&
      now - requested_at < kMinStatusInterval) {
    co_await poll_now_.Wait(kMinStatusInterval);
  }
  co_return boost::outcome_v2::success();
}

asio::awaitable<void> target_pool::RunCommand(failover_command command) {
  const bool is_fence = command.kind == command_kind::kFence;
  const result<std::shared_ptr<target_connection>> opened =
      co_await target_connection::Open(
          group_.instances[command.instance].address, command.instance,
          Credentials(), kCommandTimeout);
  result<control_response> response =
      MakeError(error_kind::kUnavailable, "target cannot be reached");
  if (opened) {
    const std::string sql =
        is_fence ? FenceQuery(command.term) : PromoteQuery(command.term);
    const result<std::string> text =
        co_await opened.value()->QueryValue(sql, kCommandTimeout);
    if (text) {
      response = ParseControlResponse(text.value());
    } else {
      response = text.error();
    }
  }
  const time_point now = monotonic_clock::now();
  const bool accepted = response && response.value().accepted;
  Log(log_level::kInfo, is_fence ? "fence" : "promote",
      {{"pool", group_.pool},
       {"target", FormatEndpoint(group_.instances[command.instance].address)},
       {"term", std::to_string(command.term)},
       {"cause", std::to_string(static_cast<int>(failover_.cause))},
       {"accepted", accepted ? "yes" : "no"}});
  if (is_fence) {
    RecordFence(failover_, group_, command, accepted,
                accepted ? response.value().report.log_end : log_point(), now);
  } else {
    counts_.promotions += accepted ? 1 : 0;
    RecordPromotion(failover_, command, now);
  }
  poll_now_.NotifyAll();
}

}  // namespace sassafraswick
