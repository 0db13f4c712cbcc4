#include <algorithm>
#include <chrono>
#include <cstdio>
#include <thread>
#include <vector>

#include "test/support/fleet.h"

/// @file
/// Measures the overhead of the proxy: latency and throughput compared with
/// direct connections, and memory per idle caller.

namespace {

using sassafraswick::monotonic_clock;
using sassafraswick::time_point;
using test_support::pg_client;

constexpr int kSamples = 5000;
constexpr std::size_t kIdleCallers = 2000;
constexpr std::size_t kThreads = 4;

double Microseconds(time_point::duration span) {
  return std::chrono::duration<double, std::micro>(span).count();
}

double MedianMicroseconds(const std::string& url, const std::string& sql) {
  pg_client client(url);
  std::vector<double> samples;
  for (int i = 0; i < kSamples; ++i) {
    const time_point start = monotonic_clock::now();
    if (!client.Query(sql).ok) {
      return -1;
    }
    samples.push_back(Microseconds(monotonic_clock::now() - start));
  }
  std::sort(samples.begin(), samples.end());
  return samples[samples.size() / 2];
}

double Throughput(const std::string& url, const std::string& sql) {
  const time_point start = monotonic_clock::now();
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < kThreads; ++i) {
    threads.emplace_back([&url, &sql] {
      pg_client client(url);
      for (int j = 0; j < kSamples; ++j) {
        client.Query(sql);
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  const double seconds = Microseconds(monotonic_clock::now() - start) / 1e6;
  return kThreads * kSamples / seconds;
}

}  // namespace

int main() {
  test_support::fleet_options options;
  options.proxies = 1;
  options.with_faults = false;
  options.organisations = {{"gallery", "rate = 1000000\nburst = 1000000"}};
  options.connections = 60;
  options.slots = 8;
  test_support::fleet target(options);
  if (!target.WaitReady()) {
    return 1;
  }
  const std::string proxied = target.Url(0, "gallery");
  const std::string direct = target.InstanceUrl(0);
  pg_client(direct).Query("CREATE TABLE t (id bigint primary key, v text)");
  pg_client(direct).Query("INSERT INTO t VALUES (1, 'oak')");
  const std::string read = "SELECT v FROM t WHERE id = 1";
  const std::string write = "UPDATE t SET v = 'ash' WHERE id = 1";
  for (const std::string& sql : {read, write}) {
    const double direct_median = MedianMicroseconds(direct, sql);
    const double proxied_median = MedianMicroseconds(proxied, sql);
    std::printf(
        "%s: direct median %.1f us, proxied %.1f us, added %.1f us; "
        "throughput direct %.0f/s, proxied %.0f/s\n",
        sql.c_str(), direct_median, proxied_median,
        proxied_median - direct_median, Throughput(direct, sql),
        Throughput(proxied, sql));
  }
  std::vector<std::unique_ptr<pg_client>> idle;
  const std::uint64_t before = target.Proxy(0).ResidentKilobytes();
  for (std::size_t i = 0; i < kIdleCallers; ++i) {
    idle.push_back(std::make_unique<pg_client>(proxied));
    if (!idle.back()->IsConnected()) {
      std::printf("caller %zu was rejected\n", i);
      return 1;
    }
  }
  const std::uint64_t after = target.Proxy(0).ResidentKilobytes();
  std::printf(
      "memory per idle caller: %.2f KB (%zu callers, %llu to %llu KB)\n",
      static_cast<double>(after - before) / kIdleCallers, kIdleCallers,
      static_cast<unsigned long long>(before),
      static_cast<unsigned long long>(after));
  return 0;
}
