#include <sodium.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>

#include "sassafraswick/core/log.h"
#include "sassafraswick/proxy/daemon.h"

/// @file
/// The proxy daemon. Exit codes: 0 after a graceful shutdown, 1 if it cannot
/// start, 2 for invalid settings.

int main(int argc, char** argv) {
  constexpr int kExitStartupFailed = 1;
  constexpr int kExitInvalidSettings = 2;
  CLI::App app("sassafraswick: database proxy with session consistency");
  std::string path;
  bool check_only = false;
  app.add_option("--config", path, "Settings file (INI)")->required();
  app.add_flag("--check", check_only, "Check the settings and exit");
  CLI11_PARSE(app, argc, argv);
  const sassafraswick::result<sassafraswick::daemon_settings> settings =
      sassafraswick::LoadDaemonSettings(path);
  if (!settings) {
    std::cerr << settings.error().message << "\n";
    return kExitInvalidSettings;
  }
  if (check_only) {
    std::cout << path << ": settings are valid\n";
    return 0;
  }
  if (sodium_init() < 0) {
    std::cerr << "libsodium cannot be initialised\n";
    return kExitStartupFailed;
  }
  std::signal(SIGPIPE, SIG_IGN);
  sassafraswick::StartLogging("sassafraswickd " + settings.value().host,
                              settings.value().level);
  const sassafraswick::result<void> run_result =
      sassafraswick::RunDaemon(settings.value());
  if (!run_result) {
    std::cerr << run_result.error().message << "\n";
    return kExitStartupFailed;
  }
  return 0;
}
