#include "test/support/fleet.h"

#include <stdlib.h>

#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace test_support {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStartupTimeout(20'000);
constexpr const char* kFleetSecret = "secret-of-the-test-fleet";

std::string LoopbackEndpoint(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

void WriteFile(const std::string& path, const std::string& text) {
  std::ofstream(path) << text;
}

void Require(bool condition, const std::string& message) {
  if (!condition) {
    throw std::runtime_error(message);
  }
}

}  // namespace

fleet::fleet(const fleet_options& options) : options_(options) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "sassafraswick-XXXXXX")
          .string();
  directory_ = mkdtemp(pattern.data());
  StartPlatform();
  for (std::size_t i = 0; i < options_.groups * kInstances; ++i) {
    const std::string suffix =
        std::to_string(i / kInstances) + "-" + std::to_string(i % kInstances);
    instance_ports_.push_back(FreePort());
    instance_links_.push_back(
        AddLink("target-" + suffix, instance_ports_.back()));
    replication_ports_.push_back(FreePort());
    replication_links_.push_back(
        AddLink("replication-" + suffix, replication_ports_.back()));
  }
  for (std::size_t i = 0; i < options_.proxies; ++i) {
    proxy_ports_.push_back(FreePort());
    peer_ports_.push_back(FreePort());
    store_ports_.push_back(
        AddLink("store-" + std::to_string(i), platform_port_));
    peer_links_.push_back(
        AddLink("peer-" + std::to_string(i), peer_ports_.back()));
  }
  StartFaultProxy();
  StartGroups();
  WriteSettings();
  proxies_.resize(options_.proxies);
  for (std::size_t i = 0; i < options_.proxies; ++i) {
    StartProxy(i);
  }
}

std::uint16_t fleet::AddLink(const std::string& name, std::uint16_t port) {
  if (!options_.with_faults) {
    return port;
  }
  const std::uint16_t listen = FreePort();
  link_arguments_.push_back("--link");
  link_arguments_.push_back(name + "=" + LoopbackEndpoint(listen) + "=" +
                            LoopbackEndpoint(port));
  link_names_.push_back(name);
  return listen;
}

void fleet::StartPlatform() {
  platform_port_ = FreePort();
  platform_ = child_process({BuildPath("standin/standin_platform"), "--listen",
                             LoopbackEndpoint(platform_port_)},
                            directory_ + "/platform.log");
  Require(WaitForPort(platform_port_, kStartupTimeout),
          "platform did not start");
}

void fleet::StartFaultProxy() {
  if (!options_.with_faults) {
    return;
  }
  fault_control_port_ = FreePort();
  std::vector<std::string> arguments{BuildPath("standin/fault_proxy"),
                                     "--control",
                                     LoopbackEndpoint(fault_control_port_)};
  arguments.insert(arguments.end(), link_arguments_.begin(),
                   link_arguments_.end());
  fault_proxy_ = child_process(arguments, directory_ + "/faults.log");
  Require(WaitForPort(fault_control_port_, kStartupTimeout),
          "fault proxy did not start");
  HealAll();
}

void fleet::StartGroups() {
  for (std::size_t i = 0; i < options_.groups * kInstances; ++i) {
    std::vector<std::string> arguments{
        BuildPath("standin/standin_instance"),   "--index",
        std::to_string(i % kInstances),          "--listen",
        LoopbackEndpoint(instance_ports_[i]),    "--replication",
        LoopbackEndpoint(replication_ports_[i]), "--slots",
        std::to_string(options_.slots),          "--connections",
        std::to_string(options_.connections)};
    const std::size_t first = i / kInstances * kInstances;
    for (std::size_t j = first; j < first + kInstances; ++j) {
      if (j != i) {
        arguments.push_back("--peer");
        arguments.push_back(LoopbackEndpoint(replication_links_[j]));
      }
    }
    if (i == first) {
      arguments.push_back("--primary");
    }
    instances_.emplace_back(
        arguments, directory_ + "/instance" + std::to_string(i) + ".log");
  }
}

void fleet::WriteSettings() {
  std::string hosts;
  for (std::size_t i = 0; i < options_.proxies; ++i) {
    hosts += (i == 0 ? "" : ",");
    hosts += R"({"host":"h)" + std::to_string(i) +
             R"(","availability_zone":"az)" +
             std::to_string(i % options_.zones) + R"(","peers":")" +
             LoopbackEndpoint(peer_links_[i]) + R"(","state":"live"})";
  }
  static_cast<void>(PostJson(platform_port_, "/standin/hosts",
                             "{\"hosts\":[" + hosts + "]}"));
  WriteFile(directory_ + "/control.ini",
            std::string("[fleet]\nsecret = ") + kFleetSecret +
                "\n[platform]\nstore = " + LoopbackEndpoint(platform_port_) +
                "\nhost_list = " + LoopbackEndpoint(platform_port_) + "\n");
  for (std::size_t i = 0; i < options_.proxies; ++i) {
    WriteFile(directory_ + "/h" + std::to_string(i) + ".ini",
              "[host]\nid = h" + std::to_string(i) +
                  "\navailability_zone = az" +
                  std::to_string(i % options_.zones) +
                  "\n[listen]\ncallers = " + LoopbackEndpoint(proxy_ports_[i]) +
                  "\npeers = " + LoopbackEndpoint(peer_ports_[i]) +
                  "\n[fleet]\nsecret = " + kFleetSecret +
                  "\n[platform]\nstore = " + LoopbackEndpoint(store_ports_[i]) +
                  "\nhost_list = " + LoopbackEndpoint(store_ports_[i]) + "\n" +
                  options_.settings_lines);
  }
  for (std::size_t g = 0; g < options_.groups; ++g) {
    const std::string name = "orders" + std::to_string(g);
    configuration_text_ += "[pool " + name + "]\ntargets =";
    for (std::size_t i = 0; i < kInstances; ++i) {
      configuration_text_ +=
          " " + LoopbackEndpoint(instance_links_[g * kInstances + i]) + "/az" +
          std::to_string(i % options_.zones);
    }
    configuration_text_ +=
        "\nuser = pool\npassword = pool-secret\ndatabase = " + name;
    configuration_text_ +=
        "\nconnections = " + std::to_string(options_.connections);
    configuration_text_ += "\nslots = " + std::to_string(options_.slots);
    configuration_text_ += "\n[route ";
    configuration_text_ += name;
    configuration_text_ += "]\npool = ";
    configuration_text_ += name;
    configuration_text_ += "\n";
    configuration_text_ += options_.route_lines + "\n";
  }
  for (const std::pair<const std::string, std::string>& entry :
       options_.organisations) {
    configuration_text_ += "[organisation " + entry.first + "]\nweight = 1\n" +
                           entry.second + "\n";
  }
  ApplyConfiguration(configuration_text_);
  for (const std::pair<const std::string, std::string>& entry :
       options_.organisations) {
    keys_[entry.first] = IssueKey(entry.first);
  }
}

std::string fleet::IssueKey(const std::string& organisation) const {
  std::string key = RunControlTool({"keys", "issue", organisation});
  while (!key.empty() && key.back() == '\n') {
    key.pop_back();
  }
  return key;
}

void fleet::ApplyConfiguration(const std::string& text) const {
  WriteFile(directory_ + "/tables.ini", text);
  int exit_code = 0;
  const std::string output =
      RunControlTool({"apply", directory_ + "/tables.ini"}, &exit_code);
  Require(exit_code == 0, "apply failed: " + output);
}

std::string fleet::RunControlTool(const std::vector<std::string>& arguments,
                                  int* exit_code) const {
  std::string command = BuildPath("sassafraswickctl") + " --config " +
                        directory_ + "/control.ini";
  for (const std::string& argument : arguments) {
    command += " '" + argument + "'";
  }
  int status = 0;
  std::string output = RunCommand(command, status);
  if (exit_code != nullptr) {
    *exit_code = status;
  }
  return output;
}

void fleet::StartProxy(std::size_t index) {
  const std::string name = "/h" + std::to_string(index);
  proxies_.at(index) = child_process(
      {BuildPath("sassafraswickd"), "--config", directory_ + name + ".ini"},
      directory_ + name + ".log");
}

bool fleet::WaitReady() {
  const std::string& organisation = options_.organisations.begin()->first;
  return WaitFor(kStartupTimeout, [this, &organisation] {
    for (std::size_t i = 0; i < options_.proxies * options_.groups; ++i) {
      pg_client client(
          Url(i % options_.proxies, organisation, i / options_.proxies));
      if (!client.IsConnected() || !client.Query("SELECT 1").ok) {
        return false;
      }
    }
    return true;
  });
}

std::string fleet::Url(std::size_t proxy, const std::string& organisation,
                       std::size_t group) const {
  return "host=127.0.0.1 port=" + std::to_string(proxy_ports_.at(proxy)) +
         " user=" + organisation + " password=" + keys_.at(organisation) +
         " dbname=orders" + std::to_string(group) +
         " connect_timeout=10 sslmode=disable gssencmode=disable";
}

std::string fleet::InstanceUrl(std::size_t instance, std::size_t group) const {
  return "host=127.0.0.1 port=" +
         std::to_string(instance_ports_.at(group * kInstances + instance)) +
         " user=pool password=pool-secret dbname=orders connect_timeout=3 "
         "sslmode=disable gssencmode=disable";
}

void fleet::SendFaultCommand(const std::string& line) const {
  SendFault(fault_control_port_, line);
}

void fleet::HealAll() const {
  for (const std::string& name : link_names_) {
    SendFaultCommand("heal " + name);
    if (options_.link_delay.count() > 0) {
      SendFaultCommand("delay " + name + " " +
                       std::to_string(options_.link_delay.count()));
    }
  }
}

void fleet::ConfigurePlatform(const std::string& json) const {
  static_cast<void>(PostJson(platform_port_, "/standin", json));
}

void fleet::SetInstanceSetting(std::size_t group, std::size_t instance,
                               const std::string& name,
                               std::int64_t value) const {
  pg_client client(InstanceUrl(instance, group));
  client.Query("SELECT standin_set('" + name + "', " + std::to_string(value) +
               ")");
}

std::size_t fleet::FindPrimary(std::size_t group) const {
  std::size_t primary = kInstances;
  std::uint64_t highest = 0;
  for (std::size_t i = 0; i < kInstances; ++i) {
    pg_client client(InstanceUrl(i, group));
    const std::string status =
        client.Query("SELECT group_status(0, 0)").Value();
    const std::uint64_t term =
        status.starts_with("term=") ? std::stoull(status.substr(5)) : 0;
    if (status.find("role=primary") != std::string::npos && term > highest) {
      highest = term;
      primary = i;
    }
  }
  return primary;
}

}  // namespace test_support
