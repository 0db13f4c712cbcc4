#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <fstream>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "review/stand-in-3/record.h"
#include "review/stand-in-3/sockets.h"
#include "test/platform/standin_platform.h"
#include "test/support/process.h"

/// @file
/// The holder of the failover lease is cut off from the platform while its
/// order to promote an instance is on the way. Another holder orders meanwhile;
/// then the link heals.

namespace {

using test_platform::standin_options;
using test_platform::standin_platform;

constexpr std::size_t kGateways = 3;
/// Longest cut; `node_cut` lasts 5.5 s and, at most, 12 s.
constexpr std::chrono::milliseconds kMaxCut(5500);
/// Time from the fence to the cut.
constexpr std::chrono::milliseconds kOpenTime(150);
/// Time from the order of the second holder to the end of the cut.
constexpr std::chrono::milliseconds kHealDelay(50);
/// The gateways set `TCP_USER_TIMEOUT` to 4 s: data that is not acknowledged
/// for that long is lost.
constexpr std::chrono::milliseconds kLifetime(3900);
constexpr std::chrono::milliseconds kPromotionTime(600);
constexpr std::chrono::seconds kTimeout(20);

/// An order as it arrived at the platform.
struct arrived_order {
  std::string holder;
  std::int64_t token = 0;
};

/// The orders in the order of their arrival. Thread-safe.
class order_list {
 public:
  explicit order_list(review::record& record) : record_(record) {}

  /// Records the order that a request contains, if it is one.
  void Observe(const std::string& bytes) {
    if (bytes.find("POST /promote") == std::string::npos) {
      return;
    }
    arrived_order order{Header(bytes, "Lease-Holder: "),
                        std::stoll(Header(bytes, "Fencing-Token: "))};
    record_.Write("the platform receives an order of " + order.holder +
                  " with token " + std::to_string(order.token) + ": " +
                  bytes.substr(bytes.find("\r\n\r\n") + 4));
    const std::lock_guard<std::mutex> lock(mutex_);
    orders_.push_back(order);
  }

  [[nodiscard]] std::vector<arrived_order> All() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return orders_;
  }

 private:
  static std::string Header(const std::string& bytes, const std::string& name) {
    const std::size_t at = bytes.find(name);
    const std::size_t begin = at + name.size();
    return at == std::string::npos
               ? std::string("-1")
               : bytes.substr(begin, bytes.find("\r\n", begin) - begin);
  }

  review::record& record_;
  std::mutex mutex_;
  std::vector<arrived_order> orders_;
};

/// The link of one gateway to the platform. While it is cut, bytes are held up;
/// they arrive when it heals, unless their sender has reset the connection.
class platform_link {
 public:
  platform_link(std::uint16_t target, order_list& orders)
      : orders_(orders), listener_(target, [this](int caller, int server) {
          Serve(caller, server);
        }) {}

  void SetCut(bool cut) {
    const std::lock_guard<std::mutex> lock(mutex_);
    is_cut_ = cut;
    changed_.notify_all();
  }

  /// Number of connections that were lost in the cut.
  [[nodiscard]] std::size_t Lost() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return lost_;
  }

  [[nodiscard]] std::uint16_t Port() const { return listener_.Port(); }

 private:
  /// Waits while the link is cut.
  /// @return False if what was sent is lost: it waited too long.
  bool AwaitPath() {
    std::unique_lock<std::mutex> lock(mutex_);
    const std::chrono::steady_clock::time_point sent_at =
        std::chrono::steady_clock::now();
    changed_.wait(lock, [this] { return !is_cut_; });
    const bool arrives = std::chrono::steady_clock::now() - sent_at < kLifetime;
    lost_ += arrives ? 0 : 1;
    return arrives;
  }

  /// Returns whether a connection can be opened; none can during a cut.
  bool HasPath() {
    const std::lock_guard<std::mutex> lock(mutex_);
    lost_ += is_cut_ ? 1 : 0;
    return !is_cut_;
  }

  static bool WasReset(int descriptor) {
    int failure = 0;
    socklen_t size = sizeof(failure);
    getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &failure, &size);
    return failure != 0;
  }

  void Pump(int from, int to, bool is_to_platform) {
    constexpr std::size_t kChunkBytes = 65'536;
    std::string chunk(kChunkBytes, '\0');
    while (true) {
      const ssize_t got = recv(from, chunk.data(), chunk.size(), 0);
      const bool arrives = AwaitPath();
      if (got <= 0 || !arrives || WasReset(from)) {
        break;
      }
      const std::string bytes = chunk.substr(0, static_cast<std::size_t>(got));
      if (is_to_platform) {
        orders_.Observe(bytes);
      }
      if (!review::SendAll(to, bytes)) {
        break;
      }
    }
    shutdown(to, SHUT_WR);
  }

  void Serve(int caller, int server) {
    if (!HasPath()) {
      // Accepted by the kernel of this machine, but not by the platform.
      AwaitPath();
      return;
    }
    std::thread back([this, caller, server] { Pump(server, caller, false); });
    Pump(caller, server, true);
    back.join();
  }

  order_list& orders_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool is_cut_ = false;
  std::size_t lost_ = 0;
  review::listener listener_;
};

std::string SettingsPath(const standin_platform& platform, std::size_t index) {
  return platform.Directory() + "/gateway" + std::to_string(index) + ".ini";
}

/// Lets a gateway reach the platform through its link.
void UseLink(standin_platform& platform, std::size_t index,
             std::uint16_t port) {
  std::ostringstream text;
  text << std::ifstream(SettingsPath(platform, index)).rdbuf();
  std::istringstream lines(text.str());
  std::ofstream changed(SettingsPath(platform, index));
  std::string line;
  while (std::getline(lines, line)) {
    const bool is_platform =
        line.starts_with("store = ") || line.starts_with("promotions = ");
    changed << (is_platform ? line.substr(0, line.find('=')) +
                                  "= 127.0.0.1:" + std::to_string(port)
                            : line)
            << "\n";
  }
}

/// Returns the gateway that holds the failover lease.
std::optional<std::size_t> FindHolder(standin_platform& platform) {
  const std::string holder = platform.Store().Value("sassafraswick/failover");
  for (std::size_t i = 0; i < kGateways; ++i) {
    if (holder.starts_with("gateway-" + std::to_string(i) + "/")) {
      return i;
    }
  }
  return std::nullopt;
}

int Run(const std::string& program, review::record& record) {
  const bool trouble = review::HasTrouble();
  standin_options options;
  options.gateways = kGateways;
  options.programs.assign(kGateways, program);
  options.promotion_delay = kPromotionTime;
  options.settings_lines = "[limits]\nmemory = 260\ndescriptors = 4300\n";
  standin_platform platform(options);
  order_list orders(record);
  std::vector<std::unique_ptr<platform_link>> links;
  std::uint16_t server = 0;
  for (std::size_t i = 0; i < kGateways; ++i) {
    std::ostringstream text;
    text << std::ifstream(SettingsPath(platform, i)).rdbuf();
    const std::string mark = "store = 127.0.0.1:";
    server = static_cast<std::uint16_t>(
        std::stoul(text.str().substr(text.str().find(mark) + mark.size())));
    links.push_back(std::make_unique<platform_link>(server, orders));
    UseLink(platform, i, links.back()->Port());
    platform.Gateway(i).Kill();
    platform.RestartGateway(i);
  }
  const bool is_ready =
      platform.WaitReady() && test_support::WaitFor(kTimeout, [&platform] {
        return FindHolder(platform).has_value();
      });
  if (!is_ready) {
    record.Write("no gateway took the failover lease");
    return review::kCouldNotRun;
  }
  test_support::Pause(std::chrono::milliseconds(3000));
  const std::size_t holder = FindHolder(platform).value_or(0);
  record.Write("gateway-" + std::to_string(holder) +
               " holds the failover lease; the primary crashes");
  platform.Crash(platform.Group().PrimaryIndex());
  const std::string waiting = R"("phase":"waiting")";
  const bool is_fenced =
      test_support::WaitFor(kTimeout, [&platform, holder, &waiting] {
        return platform.GatewayLog(holder).find(waiting) != std::string::npos;
      });
  if (!is_fenced) {
    record.Write("the holder did not fence the group");
    return review::kCouldNotRun;
  }
  if (trouble) {
    // The holder opens the connection for its order now, and orders 500 ms
    // after it has fenced the group.
    test_support::Pause(kOpenTime);
    record.Write("the holder is cut off from the platform");
    links[holder]->SetCut(true);
    // The cut ends after the order of another holder has arrived.
    static_cast<void>(test_support::WaitFor(
        kMaxCut, [&orders] { return !orders.All().empty(); }));
    test_support::Pause(kHealDelay);
    record.Write("the cut heals");
    links[holder]->SetCut(false);
  }
  test_support::Pause(std::chrono::milliseconds(3000));
  std::int64_t highest = 0;
  bool broken = false;
  const std::vector<arrived_order> arrived = orders.All();
  for (const arrived_order& order : arrived) {
    if (order.token < highest) {
      broken = true;
      record.Write("BROKEN: " + order.holder + " ordered with token " +
                   std::to_string(order.token) +
                   ", the platform has seen token " + std::to_string(highest));
    }
    highest = std::max(highest, order.token);
  }
  record.Write(std::to_string(arrived.size()) + " orders arrived; " +
               std::to_string(links[holder]->Lost()) +
               " times what the holder sent in the cut was lost");
  if (arrived.empty()) {
    return review::kCouldNotRun;
  }
  return broken ? review::kBroken : review::kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    return review::kCouldNotRun;
  }
  review::record record(argv[2]);
  return Run(argv[1], record);
}
