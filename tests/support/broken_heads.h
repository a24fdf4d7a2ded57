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

/// Heads with a field whose name holds a blank, a control byte or a line end.
inline std::vector<std::string> HeadsWithBadName(const std::string& fields = "") {
  const std::string status_line = "HTTP/1.1 200 OK\r\n";
  std::vector<std::string> heads;
  for (const std::string& line :
       {std::string("Bad Name: x"), std::string("Bad-Name : x"), std::string("Bad Name:"),
        std::string("Transfer-Encoding : chunked"), std::string("Content-Length : 1"),
        std::string("Content-Length\t: 1"), std::string("Bad\001Name: x"),
        std::string("Bad\tName: x"), std::string("Bad\177Name: x"), std::string("Bad\nName: x"),
        std::string("Bad\rName: x"), std::string("Bad\0Name: x", 11), std::string(" Bad-Name: x"),
        std::string("\tBad-Name: x"), std::string(" Transfer-Encoding: chunked")}) {
    heads.push_back(status_line + line + "\r\n" + fields);
    heads.push_back(status_line + "First: x\r\n" + fields + line + "\r\n");
  }
  return heads;
}

inline std::string WithLength(const std::string& head, const std::string& body) {
  return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace rattanramp::tests
