#include <CLI/CLI.hpp>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <deque>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <sstream>

#include "sassafraswick/net/async_event.h"
#include "sassafraswick/proxy/stream.h"
#include "standin/arguments.h"

/// @file
/// TCP proxy that injects faults. Each `--link NAME=LISTEN=TARGET` forwards
/// one port. The control port accepts one command per line:
///   delay NAME MILLISECONDS   delays each chunk of data, in both directions
///   jitter NAME MILLISECONDS  adds a random delay of at most this length, so
///                             that connections overtake each other
///   rate NAME KILOBITS        limits the bits per second from the target, for
///                             all connections of the link together
///   drop NAME to|from         discards the data of one direction (one-way
///                             partition); connections stay open
///   pass NAME                 forwards both directions again; connections stay
///                             open, what was discarded stays lost
///   cut NAME                  closes all connections and refuses new ones
///   heal NAME                 clears all faults and closes all connections
/// It responds with `ok`, or `unknown` for an unknown link or command.

namespace {

namespace asio = boost::asio;
using sassafraswick::duration;
using sassafraswick::monotonic_clock;
using sassafraswick::time_point;
using tcp_socket = asio::ip::tcp::socket;

constexpr std::size_t kChunkBytes = 16'384;
/// Read size on a rate-limited link: small, so that its connections share the
/// bandwidth evenly.
constexpr std::size_t kRateLimitedChunkBytes = 2'048;
constexpr duration kConnectTimeout = std::chrono::seconds(2);
constexpr std::size_t kMaxQueuedChunks = 64;

struct link_faults {
  duration delay = duration::zero();
  duration jitter = duration::zero();
  /// Kilobits per second from the target; 0 is unlimited.
  double rate_kbps = 0.0;
  bool drop_to_target = false;
  bool drop_from_target = false;
  bool cut = false;
};

struct forwarded_link {
  sassafraswick::endpoint listen;
  sassafraswick::endpoint target;
  link_faults faults;
  /// When the link has transmitted all bytes read so far (rate limit).
  time_point busy_until;
  std::set<std::shared_ptr<tcp_socket>> sockets;
};

struct chunk {
  time_point due;
  std::string bytes;
};

/// Forwards one direction of one connection.
struct relay : std::enable_shared_from_this<relay> {
  relay(forwarded_link& forwarded, std::shared_ptr<tcp_socket> source,
        std::shared_ptr<tcp_socket> sink, bool is_to_target,
        std::mt19937_64& random)
      : link(forwarded),
        from(std::move(source)),
        to(std::move(sink)),
        to_target(is_to_target),
        generator(random),
        changed(from->get_executor()) {}

  void Close() {
    boost::system::error_code ignored;
    from->close(ignored);
    to->close(ignored);
    link.sockets.erase(from);
    link.sockets.erase(to);
    closed = true;
    changed.NotifyAll();
  }

  asio::awaitable<void> Read() {
    const std::shared_ptr<relay> self = shared_from_this();
    std::array<char, kChunkBytes> bytes{};
    while (!closed) {
      while (queue.size() >= kMaxQueuedChunks && !closed) {
        co_await changed.Wait(std::chrono::seconds(1));
      }
      const bool limited = !to_target && link.faults.rate_kbps > 0.0;
      boost::system::error_code failure;
      const std::size_t size = co_await from->async_read_some(
          asio::buffer(bytes.data(),
                       limited ? kRateLimitedChunkBytes : kChunkBytes),
          asio::redirect_error(asio::use_awaitable, failure));
      if (failure) {
        break;
      }
      if (limited) {
        co_await WaitForLinkCapacity(size);
      }
      const bool dropped =
          to_target ? link.faults.drop_to_target : link.faults.drop_from_target;
      if (dropped) {
        continue;
      }
      duration delay = link.faults.delay;
      if (link.faults.jitter > duration::zero()) {
        delay += duration(std::uniform_int_distribution<std::int64_t>(
            0, link.faults.jitter.count())(generator));
      }
      queue.push_back(
          {monotonic_clock::now() + delay, std::string(bytes.data(), size)});
      changed.NotifyAll();
    }
    source_closed = true;
    changed.NotifyAll();
  }

  /// Waits until the rate-limited link has transmitted these bytes.
  asio::awaitable<void> WaitForLinkCapacity(std::size_t size) {
    constexpr double kBitsPerByte = 8.0;
    const std::chrono::duration<double, std::milli> transmission_time(
        static_cast<double>(size) * kBitsPerByte / link.faults.rate_kbps);
    const time_point now = monotonic_clock::now();
    link.busy_until = std::max(link.busy_until, now) +
                      std::chrono::duration_cast<duration>(transmission_time);
    co_await sassafraswick::Sleep(
        std::chrono::duration_cast<duration>(link.busy_until - now));
  }

  asio::awaitable<void> Write() {
    const std::shared_ptr<relay> self = shared_from_this();
    while (!closed) {
      if (queue.empty()) {
        if (source_closed) {
          break;
        }
        co_await changed.Wait(std::chrono::seconds(1));
        continue;
      }
      const time_point now = monotonic_clock::now();
      if (queue.front().due > now) {
        co_await sassafraswick::Sleep(
            std::chrono::duration_cast<duration>(queue.front().due - now));
        continue;
      }
      const chunk next = std::move(queue.front());
      queue.pop_front();
      changed.NotifyAll();
      if (!co_await sassafraswick::WriteAll(*to, next.bytes)) {
        break;
      }
    }
    Close();
  }

  forwarded_link& link;
  std::shared_ptr<tcp_socket> from;
  std::shared_ptr<tcp_socket> to;
  bool to_target;
  std::mt19937_64& generator;
  std::deque<chunk> queue;
  bool source_closed = false;
  bool closed = false;
  sassafraswick::async_event changed;
};

using link_table = std::map<std::string, forwarded_link>;

asio::awaitable<void> Forward(forwarded_link& link, tcp_socket accepted,
                              std::mt19937_64& random) {
  const asio::any_io_executor executor = co_await asio::this_coro::executor;
  const std::shared_ptr<tcp_socket> caller =
      std::make_shared<tcp_socket>(std::move(accepted));
  sassafraswick::result<tcp_socket> connected =
      co_await sassafraswick::Connect(link.target, kConnectTimeout);
  if (!connected) {
    co_return;
  }
  const std::shared_ptr<tcp_socket> target =
      std::make_shared<tcp_socket>(std::move(connected.value()));
  link.sockets.insert(caller);
  link.sockets.insert(target);
  for (const bool to_target : {true, false}) {
    const std::shared_ptr<relay> direction =
        std::make_shared<relay>(link, to_target ? caller : target,
                                to_target ? target : caller, to_target, random);
    asio::co_spawn(executor, direction->Read(), asio::detached);
    asio::co_spawn(executor, direction->Write(), asio::detached);
  }
}

asio::awaitable<void> ServeLink(forwarded_link& link, std::mt19937_64& random) {
  const asio::any_io_executor executor = co_await asio::this_coro::executor;
  sassafraswick::result<asio::ip::tcp::acceptor> acceptor =
      sassafraswick::Listen(executor, link.listen);
  if (!acceptor) {
    std::cerr << acceptor.error().message << "\n";
    std::exit(1);
  }
  while (true) {
    boost::system::error_code failure;
    tcp_socket socket = co_await acceptor.value().async_accept(
        asio::redirect_error(asio::use_awaitable, failure));
    if (!failure && !link.faults.cut) {
      boost::system::error_code ignored;
      socket.set_option(asio::ip::tcp::no_delay(true), ignored);
      asio::co_spawn(executor, Forward(link, std::move(socket), random),
                     asio::detached);
    }
  }
}

void CloseAll(forwarded_link& link) {
  const std::set<std::shared_ptr<tcp_socket>> closing = link.sockets;
  for (const std::shared_ptr<tcp_socket>& socket : closing) {
    boost::system::error_code ignored;
    socket->close(ignored);
  }
  link.sockets.clear();
}

bool ExecuteCommand(link_table& links, const std::string& line) {
  std::istringstream words(line);
  std::string command;
  std::string name;
  words >> command >> name;
  const auto found = links.find(name);
  if (found == links.end()) {
    return false;
  }
  link_faults& faults = found->second.faults;
  if (command == "delay" || command == "jitter") {
    std::int64_t milliseconds = 0;
    words >> milliseconds;
    (command == "delay" ? faults.delay : faults.jitter) =
        std::chrono::milliseconds(milliseconds);
  } else if (command == "rate") {
    words >> faults.rate_kbps;
  } else if (command == "drop") {
    std::string direction;
    words >> direction;
    (direction == "to" ? faults.drop_to_target : faults.drop_from_target) =
        true;
  } else if (command == "pass") {
    faults.drop_to_target = false;
    faults.drop_from_target = false;
  } else if (command == "cut") {
    faults.cut = true;
    CloseAll(found->second);
  } else if (command == "heal") {
    faults = link_faults();
    CloseAll(found->second);
  } else {
    return false;
  }
  return true;
}

asio::awaitable<void> ServeControl(link_table& links,
                                   sassafraswick::endpoint listen) {
  const asio::any_io_executor executor = co_await asio::this_coro::executor;
  sassafraswick::result<asio::ip::tcp::acceptor> acceptor =
      sassafraswick::Listen(executor, listen);
  while (acceptor) {
    boost::system::error_code failure;
    tcp_socket socket = co_await acceptor.value().async_accept(
        asio::redirect_error(asio::use_awaitable, failure));
    std::string buffer;
    while (!failure) {
      const std::size_t size = co_await asio::async_read_until(
          socket, asio::dynamic_buffer(buffer), '\n',
          asio::redirect_error(asio::use_awaitable, failure));
      if (!failure) {
        const bool recognised = ExecuteCommand(links, buffer.substr(0, size));
        buffer.erase(0, size);
        const sassafraswick::result<void> written =
            co_await sassafraswick::WriteAll(socket,
                                             recognised ? "ok\n" : "unknown\n");
        if (!written) {
          break;
        }
      }
    }
  }
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Fault-injecting TCP proxy");
  std::string control;
  std::vector<std::string> specifications;
  std::uint64_t seed = 1;
  app.add_option("--control", control)->required();
  app.add_option("--link", specifications)->required();
  app.add_option("--seed", seed);
  CLI11_PARSE(app, argc, argv);
  link_table links;
  for (const std::string& text : specifications) {
    std::istringstream parts(text);
    std::string name;
    std::string listen;
    std::string target;
    std::getline(parts, name, '=');
    std::getline(parts, listen, '=');
    std::getline(parts, target);
    links[name] = {standin::EndpointOrExit(listen),
                   standin::EndpointOrExit(target),
                   {},
                   {},
                   {}};
  }
  asio::io_context context(1);
  std::mt19937_64 random(seed);
  for (std::pair<const std::string, forwarded_link>& entry : links) {
    asio::co_spawn(context, ServeLink(entry.second, random), asio::detached);
  }
  asio::co_spawn(context, ServeControl(links, standin::EndpointOrExit(control)),
                 asio::detached);
  context.run();
  return 0;
}
