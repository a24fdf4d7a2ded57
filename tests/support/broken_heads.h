// Response heads that are no HTTP, each with one line that is not allowed and without the empty
// line at the end. `fields` are lines that come with them.
#pragma once

#include <string>
#include <vector>

namespace rattanramp::tests {

inline std::vector<std::string> HeadsWithBadStatus(const std::string& fields = "") {
  std::vector<std::string> heads;
  for (const std::string status : {"000", "001", "099", "600", "999"}) {
    heads.push_back("HTTP/1.1 " + status + " Trouble\r\n" + fields);
  }
  return heads;
}

inline std::string WithLength(const std::string& head, const std::string& body) {
  return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace rattanramp::tests
