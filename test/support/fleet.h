#ifndef TEST_SUPPORT_FLEET_H_
#define TEST_SUPPORT_FLEET_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "test/support/pg_client.h"
#include "test/support/process.h"

/// @file
/// A fleet of real processes on loopback.

namespace test_support {

/// Composition of a fleet.
struct fleet_options {
  std::size_t proxies = 3;
  std::size_t zones = 3;
  std::size_t groups = 1;
  std::uint32_t slots = 3;
  std::uint32_t connections = 20;
  /// Routes every link between processes through a fault proxy.
  bool with_faults = true;
  /// One-way delay of every link; needs `with_faults`.
  std::chrono::milliseconds link_delay{0};
  /// Organisations, each with further lines of its configuration section, such
  /// as `rate` and `burst`.
  std::map<std::string, std::string> organisations{{"gallery", ""},
                                                   {"counter", ""}};
  /// Further lines of each `[route ...]` section.
  std::string route_lines;
  /// Further lines at the end of each proxy's settings.
  std::string settings_lines;
};

/// Runs a simulated platform, simulated database groups, a fault proxy and the
/// proxies under test.
///
/// Links are named `target-G-I` (proxies to instance I of group G),
/// `replication-G-I` (other instances to it), `store-H` (proxy H to the
/// platform) and `peer-H` (its peers to it).
class fleet {
 public:
  explicit fleet(const fleet_options& options);

  /// Waits until every proxy has executed a statement on every group.
  [[nodiscard]] bool WaitReady();

  /// Connection string for libpq.
  [[nodiscard]] std::string Url(std::size_t proxy,
                                const std::string& organisation,
                                std::size_t group = 0) const;
  /// Connection string of an instance, bypassing the proxies and the fault
  /// proxy.
  [[nodiscard]] std::string InstanceUrl(std::size_t instance,
                                        std::size_t group = 0) const;

  /// Sends one command line to the fault proxy.
  void SendFaultCommand(const std::string& line) const;
  /// Removes the faults of all links and restores `link_delay`.
  void HealAll() const;
  /// Changes settings of the simulated platform, given as a JSON object.
  void ConfigurePlatform(const std::string& json) const;
  /// Changes a run-time setting of a simulated instance.
  void SetInstanceSetting(std::size_t group, std::size_t instance,
                          const std::string& name, std::int64_t value) const;

  /// Runs `sassafraswickctl`.
  /// @param exit_code Set to its exit code, unless null.
  /// @return Its output.
  std::string RunControlTool(const std::vector<std::string>& arguments,
                             int* exit_code = nullptr) const;
  /// Writes the configuration file and applies it.
  void ApplyConfiguration(const std::string& text) const;
  /// The configuration as first applied.
  [[nodiscard]] const std::string& ConfigurationText() const {
    return configuration_text_;
  }
  [[nodiscard]] std::string IssueKey(const std::string& organisation) const;

  void StartProxy(std::size_t index);
  [[nodiscard]] child_process& Proxy(std::size_t index) {
    return proxies_.at(index);
  }
  [[nodiscard]] child_process& Instance(std::size_t group,
                                        std::size_t instance) {
    return instances_.at(group * kInstances + instance);
  }
  [[nodiscard]] std::size_t ProxyCount() const { return proxies_.size(); }
  [[nodiscard]] const std::string& Directory() const { return directory_; }
  [[nodiscard]] const std::string& Key(const std::string& organisation) const {
    return keys_.at(organisation);
  }
  [[nodiscard]] std::uint16_t PlatformPort() const { return platform_port_; }
  [[nodiscard]] std::uint16_t ProxyPort(std::size_t index) const {
    return proxy_ports_.at(index);
  }
  /// Finds the instance that reports itself as primary of the highest term.
  /// @return Its index, or `kInstances` if there is none.
  [[nodiscard]] std::size_t FindPrimary(std::size_t group = 0) const;

  static constexpr std::size_t kInstances = 3;

 private:
  void StartPlatform();
  void StartFaultProxy();
  void StartGroups();
  void WriteSettings();
  /// Adds a link to a port through the fault proxy, if there is one.
  /// @return The port to connect to.
  [[nodiscard]] std::uint16_t AddLink(const std::string& name,
                                      std::uint16_t port);

  fleet_options options_;
  std::string directory_;
  std::string configuration_text_;
  std::uint16_t platform_port_ = 0;
  std::vector<std::uint16_t> store_ports_;
  std::uint16_t fault_control_port_ = 0;
  std::vector<std::uint16_t> instance_ports_;
  std::vector<std::uint16_t> instance_links_;
  std::vector<std::uint16_t> replication_ports_;
  std::vector<std::uint16_t> replication_links_;
  std::vector<std::uint16_t> proxy_ports_;
  std::vector<std::uint16_t> peer_ports_;
  std::vector<std::uint16_t> peer_links_;
  std::vector<std::string> link_arguments_;
  std::vector<std::string> link_names_;
  std::map<std::string, std::string> keys_;
  child_process platform_;
  child_process fault_proxy_;
  std::vector<child_process> instances_;
  std::vector<child_process> proxies_;
};

}  // namespace test_support

#endif  // TEST_SUPPORT_FLEET_H_
