#include <sodium.h>

#include <CLI/CLI.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <iostream>
#include <optional>

#include "app/gateway_pages.h"
#include "sassafraswick/config/ini.h"
#include "sassafraswick/config/settings.h"
#include "sassafraswick/peer/peer_link.h"
#include "sassafraswick/store/configuration_store.h"

/// @file
/// Command-line tool for operators. Exit codes: 0 success, 1 rejected or in
/// conflict with the current configuration, 2 invalid usage, settings or
/// tables, 3 no response from the platform or a host.

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using sassafraswick::configuration;
using sassafraswick::error;
using sassafraswick::error_kind;
using sassafraswick::result;

constexpr int kExitRejected = 1;
constexpr int kExitInvalidInput = 2;
constexpr int kExitNoResponse = 3;
constexpr std::chrono::milliseconds kHostTimeout(2000);

int ExitCode(const error& failure) {
  switch (failure.kind) {
    case error_kind::kInvalidSetting:
    case error_kind::kInvalidTable:
    case error_kind::kIo:
      return kExitInvalidInput;
    case error_kind::kUnavailable:
    case error_kind::kTimeout:
    case error_kind::kClosed:
      return kExitNoResponse;
    default:
      return kExitRejected;
  }
}

/// Values of the command line.
struct command_options {
  std::string settings_path;
  bool as_json = false;
  std::string tables_path;
  std::optional<std::uint64_t> expected_version;
  std::string organisation;
  std::string key_id;
  /// Host to query; empty queries all listed hosts.
  std::string host;
  /// Address to query instead of those in the host list.
  std::string address;
};

/// Prints a result as text or JSON.
void Print(const command_options& options, const std::string& text,
           const json::value& value) {
  std::cout << (options.as_json ? json::serialize(value) : text) << "\n";
}

/// Runs a coroutine to completion on an event loop of its own.
template <typename T>
result<T> RunToCompletion(asio::awaitable<result<T>> work) {
  asio::io_context context(1);
  std::optional<result<T>> outcome;
  asio::co_spawn(
      context,
      [&outcome, &work]() -> asio::awaitable<void> {
        outcome.emplace(co_await std::move(work));
      },
      asio::detached);
  context.run();
  return std::move(*outcome);
}

result<sassafraswick::table_set> LoadTables(const std::string& path,
                                            std::string& text) {
  BOOST_OUTCOME_TRY(text, sassafraswick::ReadFile(path));
  return sassafraswick::ParseTables(text, path);
}

result<void> Validate(const command_options& options) {
  std::string text;
  BOOST_OUTCOME_TRY(sassafraswick::table_set tables,
                    LoadTables(options.tables_path, text));
  Print(options,
        options.tables_path + ": valid, " +
            std::to_string(tables.routes.size()) + " routes, " +
            std::to_string(tables.pools.size()) + " pools, " +
            std::to_string(tables.organisations.size()) + " organisations",
        json::object{{"valid", true},
                     {"routes", tables.routes.size()},
                     {"pools", tables.pools.size()},
                     {"organisations", tables.organisations.size()}});
  return boost::outcome_v2::success();
}

result<void> Diff(const command_options& options,
                  sassafraswick::etcd_store& store) {
  std::string text;
  BOOST_OUTCOME_TRY(sassafraswick::table_set tables,
                    LoadTables(options.tables_path, text));
  BOOST_OUTCOME_TRY(sassafraswick::versioned_configuration current,
                    RunToCompletion(sassafraswick::ReadConfiguration(store)));
  json::array lines;
  std::string printed =
      "against version " + std::to_string(current.value.version) + ":";
  for (const std::string& line :
       sassafraswick::DiffTables(current.value.tables, tables)) {
    printed += "\n" + line;
    lines.push_back(json::value(line));
  }
  Print(options, printed,
        json::object{{"version", current.value.version},
                     {"changes", std::move(lines)}});
  return boost::outcome_v2::success();
}

void PrintAccepted(const command_options& options,
                   const configuration& accepted) {
  Print(options,
        "accepted as version " + std::to_string(accepted.version) +
            " (change " + accepted.change_id + ")",
        json::object{{"version", accepted.version},
                     {"change_id", accepted.change_id}});
}

/// Checks that no key belongs to an organisation that the new tables drop.
result<void> CheckKeyOrganisations(const configuration& version,
                                   const sassafraswick::table_set& tables) {
  for (const std::pair<const std::string, sassafraswick::key_record>& entry :
       version.keys) {
    if (!tables.organisations.contains(entry.second.organisation)) {
      return sassafraswick::MakeError(
          error_kind::kConflict,
          "organisation '" + entry.second.organisation + "' still has key " +
              entry.first + ": withdraw it before removing the organisation");
    }
  }
  return boost::outcome_v2::success();
}

result<void> ApplyTables(const command_options& options,
                         sassafraswick::etcd_store& store) {
  std::string text;
  BOOST_OUTCOME_TRY(sassafraswick::table_set tables,
                    LoadTables(options.tables_path, text));
  BOOST_OUTCOME_TRY(
      configuration accepted,
      RunToCompletion(sassafraswick::ChangeConfiguration(
          store, "apply " + options.tables_path, options.expected_version,
          [&text, &tables](configuration& next) -> result<void> {
            BOOST_OUTCOME_TRY(CheckKeyOrganisations(next, tables));
            next.tables_text = text;
            next.tables = tables;
            return boost::outcome_v2::success();
          })));
  PrintAccepted(options, accepted);
  return boost::outcome_v2::success();
}

result<void> History(const command_options& options,
                     sassafraswick::etcd_store& store) {
  BOOST_OUTCOME_TRY(std::vector<configuration> versions,
                    RunToCompletion(sassafraswick::ReadHistory(store)));
  std::string text;
  json::array encoded;
  for (const configuration& version : versions) {
    text += (text.empty() ? "" : "\n") + std::to_string(version.version) +
            "  " + version.change_id + "  " + version.summary;
    encoded.push_back(json::object{{"version", version.version},
                                   {"change_id", version.change_id},
                                   {"summary", version.summary}});
  }
  Print(options, text, encoded);
  return boost::outcome_v2::success();
}

result<void> IssueKey(const command_options& options,
                      sassafraswick::etcd_store& store) {
  const sassafraswick::issued_key issued =
      sassafraswick::IssueKey(options.organisation);
  BOOST_OUTCOME_TRY(configuration accepted,
                    RunToCompletion(sassafraswick::ChangeConfiguration(
                        store, "issue key " + issued.record.id, std::nullopt,
                        [&issued](configuration& next) -> result<void> {
                          if (!next.tables.organisations.contains(
                                  issued.record.organisation)) {
                            return sassafraswick::MakeError(
                                error_kind::kNotFound,
                                "organisation '" + issued.record.organisation +
                                    "' does not exist");
                          }
                          next.keys[issued.record.id] = issued.record;
                          return boost::outcome_v2::success();
                        })));
  Print(options, issued.text,
        json::object{{"key", issued.text},
                     {"id", issued.record.id},
                     {"version", accepted.version}});
  return boost::outcome_v2::success();
}

result<void> WithdrawKey(const command_options& options,
                         sassafraswick::etcd_store& store) {
  const std::string id(sassafraswick::KeyId(options.key_id));
  BOOST_OUTCOME_TRY(configuration accepted,
                    RunToCompletion(sassafraswick::ChangeConfiguration(
                        store, "withdraw key " + id, std::nullopt,
                        [&id](configuration& next) -> result<void> {
                          if (next.keys.erase(id) == 0) {
                            return sassafraswick::MakeError(
                                error_kind::kNotFound,
                                "key '" + id + "' does not exist");
                          }
                          return boost::outcome_v2::success();
                        })));
  PrintAccepted(options, accepted);
  return boost::outcome_v2::success();
}

result<void> ListKeys(const command_options& options,
                      sassafraswick::etcd_store& store) {
  BOOST_OUTCOME_TRY(sassafraswick::versioned_configuration current,
                    RunToCompletion(sassafraswick::ReadConfiguration(store)));
  std::string text;
  json::array encoded;
  for (const std::pair<const std::string, sassafraswick::key_record>& entry :
       current.value.keys) {
    text += (text.empty() ? "" : "\n") + entry.first + "  " +
            entry.second.organisation;
    encoded.push_back(json::object{
        {"id", entry.first}, {"organisation", entry.second.organisation}});
  }
  Print(options, text, encoded);
  return boost::outcome_v2::success();
}

/// Returns the hosts to query, by address or from the host list.
result<std::vector<sassafraswick::listed_host>> SelectHosts(
    const command_options& options,
    const sassafraswick::control_settings& settings) {
  if (!options.address.empty()) {
    BOOST_OUTCOME_TRY(sassafraswick::endpoint address,
                      sassafraswick::ParseEndpoint(options.address));
    return std::vector<sassafraswick::listed_host>{
        {options.address, "", address}};
  }
  BOOST_OUTCOME_TRY(std::vector<sassafraswick::listed_host> hosts,
                    RunToCompletion(sassafraswick::FetchHosts(
                        settings.platform.host_list, kHostTimeout)));
  std::erase_if(hosts, [&options](const sassafraswick::listed_host& host) {
    return !options.host.empty() && host.host != options.host;
  });
  return hosts;
}

/// Prints the state of the selected hosts. Continues after a host that fails.
/// @return The last failure, if any.
result<void> QueryHosts(const command_options& options,
                        const sassafraswick::control_settings& settings,
                        const std::string& kind) {
  BOOST_OUTCOME_TRY(std::vector<sassafraswick::listed_host> hosts,
                    SelectHosts(options, settings));
  result<void> outcome = boost::outcome_v2::success();
  for (const sassafraswick::listed_host& host : hosts) {
    sassafraswick::message::envelope request;
    request.mutable_admin_request()->set_kind(kind);
    const result<sassafraswick::message::envelope> response =
        sassafraswick::QueryHost(host.peers, settings.fleet_secret, request,
                                 kHostTimeout);
    if (!response) {
      std::cerr << host.host << ": " << response.error().message << "\n";
      outcome = response.error();
      continue;
    }
    std::cout << response.value().admin_answer().json() << "\n";
  }
  return outcome;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("sassafraswickctl: operates a sassafraswick fleet");
  command_options options;
  std::uint64_t expected = 0;
  app.add_option("--config", options.settings_path,
                 "Settings file (INI); required except by `gateway`");
  app.add_flag("--json", options.as_json, "Print JSON");
  app.require_subcommand(1);
  CLI::App* const validate =
      app.add_subcommand("validate", "Check a table file");
  CLI::App* const diff = app.add_subcommand(
      "diff", "Compare a table file with the current configuration");
  CLI::App* const apply = app.add_subcommand(
      "apply", "Make a table file the current configuration");
  for (CLI::App* const command : {validate, diff, apply}) {
    command->add_option("tables", options.tables_path, "Table file (INI)")
        ->required();
  }
  CLI::Option* const expect = apply->add_option(
      "--expect", expected, "Fail unless this is the current version");
  CLI::App* const history =
      app.add_subcommand("history", "List accepted versions");
  CLI::App* const keys = app.add_subcommand("keys", "Manage keys");
  keys->require_subcommand(1);
  CLI::App* const issue = keys->add_subcommand("issue", "Issue a key");
  issue->add_option("organisation", options.organisation)->required();
  CLI::App* const withdraw = keys->add_subcommand("withdraw", "Withdraw a key");
  withdraw->add_option("id", options.key_id, "Key id")->required();
  CLI::App* const list = keys->add_subcommand("list", "List key ids");
  CLI::App* const status =
      app.add_subcommand("status", "Show counts and health of hosts");
  CLI::App* const dump =
      app.add_subcommand("dump", "Show the full state of hosts");
  for (CLI::App* const command : {status, dump}) {
    command->add_option("--host", options.host, "Only this host");
    command->add_option("--address", options.address,
                        "Query this IP:PORT instead of the host list");
  }
  std::string page;
  CLI::App* const gateway = app.add_subcommand(
      "gateway", "Show a page that a gateway serves at its probe address");
  gateway->add_option("page", page, "dump, metrics or ready")
      ->required()
      ->check(CLI::IsMember({"dump", "metrics", "ready"}));
  gateway->add_option("address", options.address, "IP:PORT")->required();
  CLI11_PARSE(app, argc, argv);
  if (gateway->parsed()) {
    const result<void> page_result =
        sassafraswick::PrintGatewayPage(options.address, page, kHostTimeout);
    if (!page_result) {
      std::cerr << page_result.error().message << "\n";
      return ExitCode(page_result.error());
    }
    return 0;
  }
  if (options.settings_path.empty()) {
    std::cerr << "--config is required\n";
    return kExitInvalidInput;
  }
  if (expect->count() > 0) {
    options.expected_version = expected;
  }
  if (sodium_init() < 0) {
    return kExitRejected;
  }
  const result<sassafraswick::control_settings> settings =
      sassafraswick::LoadControlSettings(options.settings_path);
  result<void> outcome = boost::outcome_v2::success();
  if (!settings) {
    outcome = settings.error();
  } else {
    sassafraswick::etcd_store store(settings.value().platform.store);
    if (validate->parsed()) {
      outcome = Validate(options);
    } else if (diff->parsed()) {
      outcome = Diff(options, store);
    } else if (apply->parsed()) {
      outcome = ApplyTables(options, store);
    } else if (history->parsed()) {
      outcome = History(options, store);
    } else if (issue->parsed()) {
      outcome = IssueKey(options, store);
    } else if (withdraw->parsed()) {
      outcome = WithdrawKey(options, store);
    } else if (list->parsed()) {
      outcome = ListKeys(options, store);
    } else if (status->parsed()) {
      outcome = QueryHosts(options, settings.value(), "status");
    } else if (dump->parsed()) {
      outcome = QueryHosts(options, settings.value(), "dump");
    }
  }
  if (!outcome) {
    std::cerr << outcome.error().message << "\n";
    return ExitCode(outcome.error());
  }
  return 0;
}
