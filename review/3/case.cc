#include <signal.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdlib>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "review/standin/net.h"
#include "review/standin/platform.h"

/// @file
/// The store is down, the entries of the instances lapse, and the processes of
/// the system are killed meanwhile. After the store's return the instances are
/// back one after the other, and no write that was acknowledged may be lost.

namespace review {
namespace {

constexpr std::size_t kGateways = 3;
constexpr int kWriters = 6;
constexpr milliseconds kCalm(4000);
/// Length of the outage, as in the site file.
constexpr milliseconds kOutage(4500);
/// Time after the start of the outage at which the processes are killed.
constexpr milliseconds kKillDelay(400);
/// Time after which a killed process is started again.
constexpr std::array<milliseconds, kGateways> kRestartDelay{
    milliseconds(1020), milliseconds(1050), milliseconds(1100)};
/// Time after the store's return at which each instance writes its entry
/// again. All are within two seconds.
constexpr std::array<milliseconds, 3> kReturnDelay{
    milliseconds(1850), milliseconds(50), milliseconds(1900)};

/// A write that was acknowledged to its client.
struct acknowledged_write {
  std::string id;
  std::int64_t acknowledged_at = 0;
  std::string answer;
};

struct shared_state {
  recorder& record;
  const std::vector<std::unique_ptr<gateway_process>>& gateways;
  std::mutex mutex;
  std::vector<acknowledged_write> acknowledged;
  std::atomic<int> last_id{0};
  std::atomic<bool> stopped{false};
};

void WriteRepeatedly(shared_state& state, std::size_t number) {
  for (std::size_t turn = number; !state.stopped; ++turn) {
    line_client client(state.gateways[turn % kGateways]->Port(),
                       milliseconds(3000));
    if (!client.Start("notice", "key-hauler").starts_with("READY")) {
      Pause(milliseconds(30));
      continue;
    }
    bool open = true;
    while (open && !state.stopped) {
      const std::string id = "w" + std::to_string(++state.last_id);
      const std::string answer = client.Run(id, "WRITE order1 " + id);
      open = !answer.ends_with("(closed)");
      if (answer.starts_with("COMPLETE i-")) {
        const std::lock_guard<std::mutex> lock(state.mutex);
        state.acknowledged.push_back({id, state.record.Now(), answer});
      }
      Pause(milliseconds(20));
    }
  }
}

int Run(const std::string& directory, const std::string& temporary,
        bool trouble) {
  recorder record(directory + "/record.txt");
  store shared(record);
  database_group group("notice", group_options(), shared, record);
  for (std::size_t i = 0; i < group.Size(); ++i) {
    group.SetReturnDelay(i, kReturnDelay.at(i));
  }
  shared.Put("op/config", MakeConfiguration(7, group.Name()));
  promotion_service promotions(group, record);
  constexpr std::array<const char*, kGateways> kZones{"ga-east-a", "ga-east-b",
                                                      "ga-east-c"};
  std::vector<std::unique_ptr<gateway_process>> gateways;
  for (const char* const zone : kZones) {
    gateways.push_back(std::make_unique<gateway_process>(
        "front-" + std::string(zone), zone, temporary, shared, promotions));
    gateways.back()->Start(true);
  }
  for (const std::unique_ptr<gateway_process>& each : gateways) {
    if (!each->WaitReady(milliseconds(15'000))) {
      record.Write("case: " + each->Name() + " is not ready");
      return 2;
    }
  }
  shared_state state{.record = record, .gateways = gateways};
  std::vector<std::thread> writers;
  for (std::size_t i = 0; i < kWriters; ++i) {
    writers.emplace_back([&state, i] { WriteRepeatedly(state, i); });
  }
  Pause(kCalm);
  if (trouble) {
    const steady::time_point down_at = steady::now();
    shared.SetDown(true);
    std::this_thread::sleep_until(down_at + kKillDelay);
    record.Write("platform: all gateways are killed");
    for (const std::unique_ptr<gateway_process>& each : gateways) {
      each->Process().Kill();
    }
    for (std::size_t i = 0; i < kGateways; ++i) {
      std::this_thread::sleep_until(down_at + kKillDelay + kRestartDelay.at(i));
      record.Write("platform: " + gateways[i]->Name() + " is started again");
      gateways[i]->Start(false);
    }
    std::this_thread::sleep_until(down_at + kOutage);
    shared.SetDown(false);
  }
  Pause(milliseconds(10'000));
  state.stopped = true;
  for (std::thread& each : writers) {
    each.join();
  }
  const std::size_t primary = group.PrimaryIndex();
  for (std::size_t i = 0; i < group.Size(); ++i) {
    record.Write("instance " + group.Id(i) + ": " + group.Status(i));
  }
  std::map<std::string, std::uint64_t> kept;
  for (const log_entry& entry : group.Log(primary)) {
    kept[entry.request] = entry.term;
  }
  int lost = 0;
  for (const acknowledged_write& each : state.acknowledged) {
    if (!kept.contains(each.id)) {
      ++lost;
      record.Write("LOST: " + each.id + ", acknowledged at " +
                   std::to_string(each.acknowledged_at) + " with " +
                   each.answer + ", is not in the log of " + group.Id(primary));
    }
  }
  record.Write("case: " + std::to_string(state.acknowledged.size()) +
               " writes acknowledged, " +
               std::to_string(promotions.Promotions()) + " promotions, " +
               std::to_string(lost) + " lost");
  if (state.acknowledged.size() < 100) {
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
