#ifndef SASSAFRASWICK_GATEWAY_PROOF_EXCHANGE_H_
#define SASSAFRASWICK_GATEWAY_PROOF_EXCHANGE_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "sassafraswick/gateway/gateway_state.h"
#include "sassafraswick/peer/message.pb.h"
#include "sassafraswick/routing/rendezvous.h"

/// @file
/// Shares proofs of leadership of a group's primary between hosts. In a large
/// fleet one host, the proof collector, obtains them for all, so that not every
/// host queries the instances.

namespace sassafraswick {

template <session_codec Codec>
class proof_exchange {
 public:
  using sender =
      std::function<void(const std::string& host, message::envelope envelope)>;

  proof_exchange(gateway_state<Codec>& gateway, std::string host, sender send)
      : gateway_(gateway), host_(std::move(host)), send_(std::move(send)) {}

  /// Requests a proof from the group's proof collector. In a small fleet every
  /// host queries the instances itself, since its own commits supply most
  /// proofs there.
  /// @return False if this host has to query the instances itself.
  bool RequestProof(const std::string& pool,
                    const std::vector<std::string>& hosts,
                    const std::vector<double>& cores) {
    if (hosts.size() < kMinHostsForCollector) {
      return false;
    }
    const time_point now = monotonic_clock::now();
    ranking_.SetHosts(hosts, cores);
    const std::string collector =
        gateway_.hubs.FirstResponsive(ranking_.RankedHubs(pool), now);
    if (collector.empty() || collector == host_) {
      return false;
    }
    pending_request& pending = pending_requests_[pool];
    pending.stamp = ++last_stamp_;
    pending.sent_at = now;
    gateway_.hubs.RecordRequest(collector, now);
    message::envelope envelope;
    envelope.mutable_view_question()->set_pool(pool);
    envelope.mutable_view_question()->set_stamp(pending.stamp);
    send_(collector, std::move(envelope));
    return true;
  }

  /// Makes the response to another host's request once a recent enough proof is
  /// available.
  /// @return Nothing if the group is unknown or no proof was obtained in time.
  boost::asio::awaitable<std::optional<message::view_answer>> Answer(
      message::view_question request) {
    const std::shared_ptr<target_group<Codec>> group =
        gateway_.FindGroup(request.pool());
    if (group == nullptr) {
      co_return std::nullopt;
    }
    const std::optional<view_report> report =
        co_await group->WaitForShareableProof();
    if (!report.has_value()) {
      co_return std::nullopt;
    }
    message::view_answer answer;
    answer.set_pool(request.pool());
    answer.set_stamp(request.stamp());
    answer.set_term(report->term);
    answer.set_primary(report->primary);
    answer.set_proof_age_us(
        static_cast<std::uint64_t>(report->proof_age.count()));
    answer.set_position(report->position);
    answer.set_position_age_us(
        static_cast<std::uint64_t>(report->position_age.count()));
    co_return answer;
  }

  /// Applies the response to the latest request; responses to earlier ones are
  /// ignored.
  void HandleAnswer(const message::view_answer& answer) {
    const auto pending = pending_requests_.find(answer.pool());
    const std::shared_ptr<target_group<Codec>> group =
        gateway_.FindGroup(answer.pool());
    const bool expected = pending != pending_requests_.end() &&
                          pending->second.stamp == answer.stamp();
    if (!expected || group == nullptr) {
      return;
    }
    view_report report;
    report.term = answer.term();
    report.primary = answer.primary();
    report.proof_age =
        duration(static_cast<std::int64_t>(answer.proof_age_us()));
    report.position = answer.position();
    report.position_age =
        duration(static_cast<std::int64_t>(answer.position_age_us()));
    group->ApplyReport(report, pending->second.sent_at);
  }

 private:
  /// Minimum number of hosts for which each group has a proof collector. In a
  /// smaller fleet, a host sees a commit of its own within most primary lease
  /// durations.
  static constexpr std::size_t kMinHostsForCollector = 16;

  /// The latest request for a group's proof.
  struct pending_request {
    std::uint64_t stamp = 0;
    time_point sent_at;
  };

  gateway_state<Codec>& gateway_;
  std::string host_;
  sender send_;
  std::map<std::string, pending_request> pending_requests_;
  std::uint64_t last_stamp_ = 0;
  /// Ranks the hubs for each group; the first responsive one is the group's
  /// proof collector.
  hub_ranking ranking_;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_PROOF_EXCHANGE_H_
