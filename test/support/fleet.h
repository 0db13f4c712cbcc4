#ifndef TEST_SUPPORT_FLEET_H_
#define TEST_SUPPORT_FLEET_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "test/support/pg_client.h"
#include "test/support/process.h"

/// @file
/// A whole fleet of real processes on loopback.

namespace test_support {

/// What to start.
struct fleet_options {
  std::size_t proxies = 3;
  std::size_t zones = 3;
  std::size_t groups = 1;
  std::uint32_t slots = 3;
  std::uint32_t connections = 20;
  /// Puts a fault proxy on every link between processes.
  bool with_faults = true;
  /// One-way delay of every link, if there are fault proxies.
  std::chrono::milliseconds link_delay{0};
  /// Organisations with `rate` and `burst` as the tables write them.
  std::map<std::string, std::string> organisations{{"gallery", ""},
                                                   {"counter", ""}};
  /// More lines for each `[route ...]` section.
  std::string route_lines;
};

/// Runs platform, database groups, fault proxy and proxies.
///
/// Links are named `target-G-I` (proxies to instance I of group G),
/// `replication-G-I` (other instances to it), `store-H` (proxy H to the
/// platform) and `peer-H` (its peers to it).
class fleet {
 public:
  explicit fleet(const fleet_options& options);

  /// Waits until every proxy serves a statement of every group.
  [[nodiscard]] bool WaitReady();

  /// Connection text for libpq.
  [[nodiscard]] std::string Url(std::size_t proxy,
                                const std::string& organisation,
                                std::size_t group = 0) const;
  /// A connection straight to an instance, past proxies and faults.
  [[nodiscard]] std::string InstanceUrl(std::size_t instance,
                                        std::size_t group = 0) const;

  void SendFaultCommand(const std::string& line) const;
  void HealAll() const;
  /// Sets switches of the platform stand-in, as JSON.
  void ConfigurePlatform(const std::string& json) const;
  /// Sets a switch of an instance.
  void SetInstanceSetting(std::size_t group, std::size_t instance,
                          const std::string& name, std::int64_t value) const;

  /// Runs the operators' tool.
  /// @return Its output; `exit_code` gets its exit code.
  std::string RunControlTool(const std::vector<std::string>& arguments,
                             int* exit_code = nullptr) const;
  /// Rewrites the tables and applies them.
  void ApplyConfiguration(const std::string& text) const;
  /// The tables as first applied.
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
  /// Finds the instance that says it is primary of the highest term.
  [[nodiscard]] std::size_t FindPrimary(std::size_t group = 0) const;

  static constexpr std::size_t kInstances = 3;

 private:
  void StartPlatform();
  void StartFaultProxy();
  void StartGroups();
  void WriteSettings();
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
