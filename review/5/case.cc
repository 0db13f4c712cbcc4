#include <signal.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "review/standin/net.h"
#include "review/standin/platform.h"

/// @file
/// One of two gateways is stopped as planned, while sessions on it run one
/// statement after the other. The statements that it has read and passed on
/// must still be answered.

namespace review {
namespace {

constexpr std::size_t kGateways = 2;
constexpr milliseconds kGrace(6000);
/// Sessions that begin on each gateway. Half of them read, the others write.
constexpr std::size_t kSessions = 8;
/// Pause of a session between an answer and its next statement.
constexpr milliseconds kThinkTime(20);

/// A request that ended without a complete answer.
struct cut_request {
  std::string id;
  std::size_t gateway = 0;
  std::int64_t sent_at = 0;
  std::int64_t cut_at = 0;
};

struct shared_state {
  recorder& record;
  const std::vector<std::unique_ptr<gateway_process>>& gateways;
  std::mutex mutex;
  std::map<std::string, std::int64_t> run_at;
  std::vector<cut_request> cut;
  std::atomic<int> answered{0};
  std::atomic<int> last_id{0};
  std::atomic<bool> stopped{false};
};

/// Runs one statement.
/// @return False if the connection ended.
bool RunOne(shared_state& state, line_client& client, std::size_t gateway,
            bool writes) {
  const std::string id = (writes ? "w" : "r") + std::to_string(++state.last_id);
  const std::int64_t sent_at = state.record.Now();
  const std::string answer =
      client.Run(id, writes ? "WRITE order" + id + " " + id : "READ order1");
  if (!answer.ends_with("(closed)")) {
    ++state.answered;
    return true;
  }
  const std::lock_guard<std::mutex> lock(state.mutex);
  state.cut.push_back({id, gateway, sent_at, state.record.Now()});
  state.record.Write("client: " + id + " on gateway " +
                     std::to_string(gateway) + " sent at " +
                     std::to_string(sent_at) + " ends without an answer");
  return false;
}

/// A client that enters or looks up one order after the other. After its
/// connection has ended it goes to the gateway that is in rotation.
void RunSession(shared_state& state, std::size_t gateway, bool writes) {
  while (!state.stopped) {
    line_client client(state.gateways[gateway]->Port());
    const std::string database = writes ? "notice" : "board";
    const std::string key = writes ? "key-county" : "key-hauler";
    bool open = client.Start(database, key).starts_with("READY");
    while (open && !state.stopped) {
      open = RunOne(state, client, gateway, writes);
      Pause(kThinkTime);
    }
    gateway = kGateways - 1;
  }
}

/// Returns whether a cut request breaks LOST: it was sent around the planned
/// stop of its gateway, and passed on to an instance.
bool IsLost(const shared_state& state, const cut_request& request,
            const std::vector<std::int64_t>& stopped_at) {
  const std::int64_t stop = stopped_at.at(request.gateway);
  const bool is_planned = stop != 0 && request.cut_at >= stop &&
                          request.cut_at <= stop + kGrace.count() + 1000;
  // Not counted: a request that was sent no later than 3 s after the SIGTERM,
  // with its instance still at work in the last sixth of the grace period.
  const bool is_excused = request.sent_at <= stop + 3000 &&
                          request.cut_at >= stop + kGrace.count() * 5 / 6;
  return is_planned && !is_excused && state.run_at.contains(request.id);
}

int Run(const std::string& directory, const std::string& temporary,
        bool trouble) {
  recorder record(directory + "/record.txt");
  store shared(record);
  group_options options;
  options.read_time = milliseconds(22);
  database_group group("notice", options, shared, record);
  shared.Put("op/config", MakeConfiguration(7, group.Name()));
  promotion_service promotions(group, record);
  std::vector<std::unique_ptr<gateway_process>> gateways;
  for (std::size_t i = 0; i < kGateways; ++i) {
    gateways.push_back(std::make_unique<gateway_process>(
        "front-ga-east-a-" + std::to_string(i + 1), "ga-east-a", temporary,
        shared, promotions));
    gateways.back()->Start(true);
  }
  for (const std::unique_ptr<gateway_process>& each : gateways) {
    if (!each->WaitReady(milliseconds(15'000))) {
      record.Write("case: " + each->Name() + " is not ready");
      return 2;
    }
  }
  shared_state state{.record = record, .gateways = gateways};
  group.SetObserver([&state, &record](const run_report& report) {
    const std::int64_t now = record.Now();
    const std::lock_guard<std::mutex> lock(state.mutex);
    state.run_at[report.request] = now;
  });
  std::vector<std::thread> sessions;
  for (std::size_t i = 0; i < kGateways * kSessions; ++i) {
    sessions.emplace_back(
        [&state, i] { RunSession(state, i % kGateways, i / kGateways % 2); });
  }
  // Longer than `contact_ms`, so that no start counts as a disruption.
  Pause(milliseconds(6000));
  std::vector<std::int64_t> stopped_at(kGateways, 0);
  if (trouble) {
    stopped_at[0] = record.Now();
    record.Write("platform: SIGTERM to gateway 0");
    gateways[0]->Process().Signal(SIGTERM);
  }
  Pause(milliseconds(2000));
  record.Write(std::string("platform: gateway 0 is ") +
               (gateways[0]->IsReady() ? "ready" : "not ready"));
  if (trouble) {
    const std::int64_t left = stopped_at[0] + kGrace.count() - record.Now();
    const bool ended = gateways[0]->Process().WaitForEnd(milliseconds(left));
    record.Write(std::string("platform: gateway 0 ") +
                 (ended ? "has ended" : "gets SIGKILL"));
    gateways[0]->Process().Kill();
  }
  Pause(milliseconds(2000));
  state.stopped = true;
  for (std::thread& each : sessions) {
    each.join();
  }
  int lost = 0;
  const std::lock_guard<std::mutex> lock(state.mutex);
  for (const cut_request& each : state.cut) {
    if (!IsLost(state, each, stopped_at)) {
      continue;
    }
    ++lost;
    record.Write(
        "LOST: " + each.id + ", sent " +
        std::to_string(each.sent_at - stopped_at[each.gateway]) +
        " ms after the SIGTERM to gateway " + std::to_string(each.gateway) +
        ", ends at its instance " +
        std::to_string(state.run_at.at(each.id) - stopped_at[each.gateway]) +
        " ms after it, cut " +
        std::to_string(each.cut_at - stopped_at[each.gateway]) +
        " ms after it");
  }
  record.Write("case: " + std::to_string(state.answered) + " answered, " +
               std::to_string(state.cut.size()) + " cut, " +
               std::to_string(lost) + " lost");
  if (state.answered < 200) {
    return 2;
  }
  return lost > 0 ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 3) {
    return 2;
  }
  const char* const trouble = std::getenv("TROUBLE");
  return review::Run(argv[1], argv[2],
                     trouble == nullptr || std::string(trouble) != "0");
}
