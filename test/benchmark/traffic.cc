#include "test/benchmark/traffic.h"

#include <chrono>

#include "test/support/workload.h"

namespace benchmark {
namespace {

using sassafraswick::monotonic_clock;
using test_support::outcome;
using test_support::ParseTokenTerm;
using test_support::pg_client;
using test_support::pg_response;

/// Threads that send one organisation's statements.
constexpr std::size_t kWorkersPerOrganisation = 3;
constexpr std::uint64_t kRowsPerWorker = 10'000'000;

void RecordResponse(const pg_response& response, offered_statement& statement) {
  statement.end = monotonic_clock::now();
  statement.done = response.ok;
  statement.over_rate = response.sqlstate == "53400";
  statement.host_shutting_down =
      response.message.find("host is shutting down") != std::string::npos;
  statement.failed =
      !response.ok && !statement.over_rate && !statement.host_shutting_down;
  statement.failure = response.sqlstate + " " + response.message;
}

}  // namespace

struct traffic::worker {
  std::size_t organisation = 0;
  std::uint64_t key = 0;
  std::size_t group = 0;
  proxy_placement placement = proxy_placement::kProxyPerWorker;
  std::size_t preferred_proxy = 0;
  std::mt19937_64 random;
  std::vector<std::unique_ptr<pg_client>> clients;
  std::uint64_t next_value = 1;
  std::uint64_t token_value = 0;
  time_point token_at;
  std::string token;
};

std::string OrganisationName(std::size_t index) {
  return "organisation" + std::to_string(index);
}

traffic::traffic(test_support::fleet& target, const traffic_options& options)
    : target_(target), options_(options) {}

traffic::~traffic() { Stop(); }

void traffic::Start() {
  for (std::size_t i = 0; i < options_.organisations; ++i) {
    for (std::size_t worker_index = 0; worker_index < kWorkersPerOrganisation;
         ++worker_index) {
      threads_.emplace_back(
          [this, i, worker_index] { RunWorker(i, worker_index); });
    }
  }
}

void traffic::Stop() {
  stopping_ = true;
  for (std::thread& thread : threads_) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

void traffic::RunWorker(std::size_t organisation, std::size_t worker_index) {
  worker state;
  state.organisation = organisation;
  state.key = organisation * kWorkersPerOrganisation + worker_index;
  state.group = organisation % options_.groups;
  state.placement = static_cast<proxy_placement>(organisation % 3);
  state.preferred_proxy = organisation % target_.ProxyCount();
  state.random.seed(options_.seed * 1000 + state.key);
  state.clients.resize(target_.ProxyCount());
  const double multiple = organisation == 0 ? options_.greedy_multiple : 1.0;
  const double rate = options_.rate * multiple / kWorkersPerOrganisation;
  std::exponential_distribution<double> gap(rate);
  time_point due = monotonic_clock::now();
  while (!stopping_) {
    due += std::chrono::duration_cast<time_point::duration>(
        std::chrono::duration<double>(gap(state.random)));
    std::this_thread::sleep_until(due);
    if (!stopping_) {
      RunStatement(state, due);
    }
  }
}

void traffic::RunStatement(worker& state, time_point due) {
  offered_statement statement;
  statement.organisation = state.organisation;
  statement.due = due;
  statement.proxy = state.preferred_proxy;
  if (state.placement != proxy_placement::kOneProxy) {
    const bool is_random = state.placement == proxy_placement::kRandomProxy;
    statement.proxy =
        is_random ? state.random() % target_.ProxyCount()
                  : (state.preferred_proxy + state.key) % target_.ProxyCount();
  }
  statement.is_write = state.random() % 2 == 0;
  for (std::size_t i = 0; i < target_.ProxyCount(); ++i) {
    pg_client* const client = FindClient(state, statement.proxy);
    if (client != nullptr) {
      statement.sent = monotonic_clock::now();
      if (statement.is_write) {
        RunWrite(state, *client, statement);
      } else {
        RunRead(state, *client, statement);
      }
      if (!statement.host_shutting_down) {
        break;
      }
    }
    // The host is down or shutting down: tries the next, as a load balancer
    // would.
    statement.proxy = (statement.proxy + 1) % target_.ProxyCount();
    state.preferred_proxy = statement.proxy;
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  statements_.push_back(statement);
}

/// Returns a live connection to a proxy, or null.
pg_client* traffic::FindClient(worker& state, std::size_t proxy) {
  std::unique_ptr<pg_client>& client = state.clients[proxy];
  if (client == nullptr || !client->IsConnected()) {
    client = std::make_unique<pg_client>(
        target_.Url(proxy, OrganisationName(state.organisation), state.group));
  }
  if (!client->IsConnected()) {
    client.reset();
  }
  return client.get();
}

void traffic::RunWrite(worker& state, pg_client& client,
                       offered_statement& statement) {
  test_support::write_record record;
  record.key = state.key;
  record.group = state.group;
  record.value = state.next_value++;
  record.row_id = state.key * kRowsPerWorker + record.value;
  record.start = monotonic_clock::now();
  const std::string row = std::to_string(record.row_id);
  const pg_response response =
      client.Query("UPDATE counters SET v = " + std::to_string(record.value) +
                   " WHERE id = " + std::to_string(record.key) +
                   "; INSERT INTO entries VALUES (" + row + ")");
  record.end = monotonic_clock::now();
  RecordResponse(response, statement);
  record.result = outcome::kUnknown;
  if (response.ok) {
    record.result = outcome::kAcknowledged;
    state.token = client.Token();
    state.token_value = record.value;
    state.token_at = record.end;
    record.term = ParseTokenTerm(state.token);
  } else if (response.message.starts_with("not run") ||
             statement.host_shutting_down) {
    record.result = outcome::kNotRun;
  }
  recorder_.Add(record);
}

void traffic::RunRead(worker& state, pg_client& client,
                      offered_statement& statement) {
  test_support::read_record record;
  record.key = state.key;
  record.kind = test_support::read_kind::kToken;
  record.token_value = state.token_value;
  if (!state.token.empty()) {
    const pg_response set =
        client.Query("SET sassafraswick.session = '" + state.token + "'");
    if (!set.ok) {
      RecordResponse(set, statement);
      return;
    }
  }
  record.start = monotonic_clock::now();
  statement.replica_could_serve =
      !state.token.empty() && record.start - state.token_at >= options_.lag;
  const pg_response response = client.Query(
      "SELECT v FROM counters WHERE id = " + std::to_string(record.key));
  record.end = monotonic_clock::now();
  RecordResponse(response, statement);
  if (response.ok && !response.rows.empty()) {
    record.value = std::stoull(response.Value());
    recorder_.Add(record);
  }
}

std::vector<offered_statement> traffic::OfferedStatements() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return statements_;
}

test_support::history traffic::TakeHistory() { return recorder_.Take(); }

}  // namespace benchmark
