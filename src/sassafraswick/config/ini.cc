#include "sassafraswick/config/ini.h"

#include <algorithm>
#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>
#include <charconv>
#include <cstdint>
#include <fstream>
#include <sstream>

namespace sassafraswick {

result<std::vector<ini_section>> ParseIni(std::string_view text,
                                          const std::string& source) {
  namespace tree = boost::property_tree;
  std::istringstream stream{std::string(text)};
  tree::ptree parsed;
  try {
    tree::read_ini(stream, parsed);
  } catch (const tree::ini_parser_error& failure) {
    return MakeError(error_kind::kInvalidSetting,
                     source + " line " + std::to_string(failure.line()) + ": " +
                         failure.message());
  }
  std::vector<ini_section> sections;
  for (const tree::ptree::value_type& node : parsed) {
    if (node.second.empty()) {
      return MakeError(error_kind::kInvalidSetting,
                       source + ": key '" + node.first +
                           "' is outside a section, or a section is empty");
    }
    ini_section section{node.first, {}};
    for (const tree::ptree::value_type& entry : node.second) {
      section.entries.push_back({entry.first, entry.second.data()});
    }
    sections.push_back(std::move(section));
  }
  return sections;
}

result<std::string> ReadFile(const std::string& path) {
  std::ifstream stream(path, std::ios::binary);
  if (!stream) {
    return MakeError(error_kind::kIo, path + ": cannot be opened for reading");
  }
  std::ostringstream content;
  content << stream.rdbuf();
  return content.str();
}

std::vector<std::string> SplitWords(std::string_view text) {
  std::istringstream stream{std::string(text)};
  std::vector<std::string> parts;
  std::string word;
  while (stream >> word) {
    parts.push_back(word);
  }
  return parts;
}

result<std::uint64_t> ParseNumber(std::string_view text, std::uint64_t min,
                                  std::uint64_t max) {
  std::uint64_t value = 0;
  const char* const end = text.data() + text.size();
  const std::from_chars_result parsed =
      std::from_chars(text.data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end || value < min ||
      value > max) {
    return MakeError(error_kind::kInvalidSetting,
                     "'" + std::string(text) + "' is not an integer from " +
                         std::to_string(min) + " to " + std::to_string(max));
  }
  return value;
}

result<bool> ParseFlag(std::string_view text) {
  if (text == "yes" || text == "on" || text == "true") {
    return true;
  }
  if (text == "no" || text == "off" || text == "false") {
    return false;
  }
  return MakeError(
      error_kind::kInvalidSetting,
      "'" + std::string(text) + "' is not yes, no, on, off, true or false");
}

}  // namespace sassafraswick
