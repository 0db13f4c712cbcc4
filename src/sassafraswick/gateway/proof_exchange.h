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
/// Proofs of a group's primary between hosts: in a large fleet one host gathers
/// them, so that not every host asks the instances.

namespace sassafraswick {

template <session_codec Codec>
class proof_exchange {
 public:
  using sender =
      std::function<void(const std::string& host, message::envelope envelope)>;

  proof_exchange(gateway_state<Codec>& gateway, std::string host, sender send)
      : gateway_(gateway), host_(std::move(host)), send_(std::move(send)) {}

  /// Asks the host that gathers a group's proofs. Small fleets ask instances
  /// themselves: there the own commits prove most.
  bool Ask(const std::string& pool, const std::vector<std::string>& hosts) {
    if (hosts.size() < kGatheringFleet) {
      return false;
    }
    const time_point now = monotonic_clock::now();
    ranking_.SetHosts(hosts);
    const std::string home =
        gateway_.contacts.FirstResponsive(ranking_.RankedHubs(pool), now);
    if (home.empty() || home == host_) {
      return false;
    }
    question& asked = exchanges_[pool];
    asked.stamp = ++last_stamp_;
    asked.sent_at = now;
    gateway_.contacts.RecordQuery(home, now);
    message::envelope envelope;
    envelope.mutable_view_question()->set_pool(pool);
    envelope.mutable_view_question()->set_stamp(asked.stamp);
    send_(home, std::move(envelope));
    return true;
  }

  /// Answers another host's question once a proof is young enough.
  boost::asio::awaitable<std::optional<message::view_answer>> Answer(
      message::view_question wanted) {
    const std::shared_ptr<target_group<Codec>> group =
        gateway_.FindGroup(wanted.pool());
    if (group == nullptr) {
      co_return std::nullopt;
    }
    const std::optional<view_report> report = co_await group->Gather();
    if (!report.has_value()) {
      co_return std::nullopt;
    }
    message::view_answer answer;
    answer.set_pool(wanted.pool());
    answer.set_stamp(wanted.stamp());
    answer.set_term(report->term);
    answer.set_primary(report->primary);
    answer.set_proof_age_us(
        static_cast<std::uint64_t>(report->proof_age.count()));
    answer.set_position(report->position);
    answer.set_position_age_us(
        static_cast<std::uint64_t>(report->position_age.count()));
    co_return answer;
  }

  /// Takes over the answer to the newest question.
  void Take(const message::view_answer& answer) {
    const auto asked = exchanges_.find(answer.pool());
    const std::shared_ptr<target_group<Codec>> group =
        gateway_.FindGroup(answer.pool());
    const bool expected =
        asked != exchanges_.end() && asked->second.stamp == answer.stamp();
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
    group->Learn(report, asked->second.sent_at);
  }

 private:
  /// Fleet from which on one host gathers each group's proofs. Below, a host
  /// sees a commit of its own in most permit windows.
  static constexpr std::size_t kGatheringFleet = 16;

  /// The newest question about a group.
  struct question {
    std::uint64_t stamp = 0;
    time_point sent_at;
  };

  gateway_state<Codec>& gateway_;
  std::string host_;
  sender send_;
  std::map<std::string, question> exchanges_;
  std::uint64_t last_stamp_ = 0;
  /// The first hub for a group gathers its proofs.
  hub_ranking ranking_;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_PROOF_EXCHANGE_H_
