#include <CLI/CLI.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <iostream>

#include "standin/arguments.h"
#include "standin/instance.h"

/// @file
/// Simulates one instance of a database group, for demos and tests.

int main(int argc, char** argv) {
  CLI::App app("Simulated instance of a database group");
  standin::instance_settings settings;
  std::string listen;
  std::string replication;
  std::vector<std::string> peers;
  int connect_ms = 10;
  app.add_option("--index", settings.index);
  app.add_option("--listen", listen)->required();
  app.add_option("--replication", replication)->required();
  app.add_option("--peer", peers);
  app.add_flag("--primary", settings.primary);
  app.add_option("--slots", settings.slots);
  app.add_option("--connections", settings.connections);
  app.add_option("--connect-ms", connect_ms);
  CLI11_PARSE(app, argc, argv);
  settings.listen = standin::EndpointOrExit(listen);
  settings.replication_listen = standin::EndpointOrExit(replication);
  settings.connect_time = std::chrono::milliseconds(connect_ms);
  for (const std::string& peer : peers) {
    settings.peers.push_back(standin::EndpointOrExit(peer));
  }
  boost::asio::io_context context(1);
  standin::instance database(context, settings);
  database.StartReplication();
  boost::asio::co_spawn(context, standin::ServeSessions(database),
                        boost::asio::detached);
  context.run();
  return 0;
}
