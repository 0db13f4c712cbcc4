#include "test/benchmark/paired_comparison.h"

#include <cmath>
#include <sstream>

namespace benchmark {
namespace {

/// Adds the parts of a line such as `worth 0.7 = whole day 0.9 (weight 0.6),
/// worst windows 0.5 (weight 0.25) less prices`.
void AddParts(const std::string& line, run_figures& figures) {
  std::istringstream words(line.substr(line.find('=') + 1));
  std::string name;
  std::string word;
  while (words >> word) {
    std::istringstream number(word);
    double value = 0.0;
    const bool is_part_value = !name.empty() && number >> value;
    if (is_part_value) {
      figures[name] = value;
      name.clear();
    } else if (word == "(weight") {
      words >> word;
    } else {
      name += name.empty() ? word : " " + word;
    }
  }
}

/// Adds a line such as `-0.0075  22555.0 new connections to servers`.
/// @return False if the line is not a price.
bool AddPrice(const std::string& line, run_figures& figures) {
  std::istringstream words(line);
  double worth = 0.0;
  double amount = 0.0;
  std::string name;
  if (!(words >> worth >> amount) || !std::getline(words >> std::ws, name)) {
    return false;
  }
  figures["price of " + name] = worth;
  return true;
}

}  // namespace

std::optional<run_figures> ParseRun(const std::string& output) {
  std::istringstream lines(output);
  std::string line;
  while (std::getline(lines, line)) {
    if (!line.starts_with("worth ") || line.find('=') == std::string::npos) {
      continue;
    }
    run_figures figures;
    figures["worth"] = std::stod(line.substr(std::string("worth ").size()));
    AddParts(line, figures);
    bool is_price = true;
    while (is_price && std::getline(lines, line)) {
      is_price = AddPrice(line, figures);
    }
    return figures;
  }
  return std::nullopt;
}

paired_difference ComparePairs(const std::vector<double>& first,
                               const std::vector<double>& second) {
  paired_difference found;
  found.pairs = first.size();
  if (found.pairs == 0) {
    return found;
  }
  const double count = static_cast<double>(found.pairs);
  for (std::size_t i = 0; i < found.pairs; ++i) {
    found.first_mean += first[i] / count;
    found.second_mean += second[i] / count;
  }
  found.difference = found.second_mean - found.first_mean;
  constexpr std::size_t kMinPairs = 3;
  if (found.pairs < kMinPairs) {
    return found;
  }
  double squares = 0.0;
  for (std::size_t i = 0; i < found.pairs; ++i) {
    squares += std::pow(second[i] - first[i] - found.difference, 2);
  }
  found.spread = std::sqrt(squares / (count - 1.0));
  const double standard_error = found.spread / std::sqrt(count);
  found.stands_out = std::abs(found.difference) > 2.0 * standard_error;
  return found;
}

}  // namespace benchmark
