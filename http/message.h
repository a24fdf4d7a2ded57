// Heads of HTTP/1.1 messages as plain structs, and their text form.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace rattanramp::http {

struct Field {
  std::string name;
  std::string value;
};

using Fields = std::vector<Field>;

struct RequestHead {
  std::string method;
  /// Path and query as sent by the peer.
  std::string target;
  Fields fields;
  /// Minor version of HTTP/1.
  int minor_version = 1;
  /// The connection may carry another request afterwards.
  bool keep_alive = true;
};

struct ResponseHead {
  int status = 0;
  Fields fields;
  bool keep_alive = true;
  /// The body has no length of its own and ends with the connection.
  bool body_ends_at_close = false;
};

bool EqualsIgnoreCase(std::string_view a, std::string_view b);

/// Value of the first field with that name; null when there is none.
const std::string* FindField(std::span<const Field> fields, std::string_view name);

/// True for fields that concern one connection only (Connection and what it names are not
/// followed; Transfer-Encoding and Content-Length count, because framing is redone at each hop).
bool IsHopByHop(std::string_view name);

/// Fields without those for which IsHopByHop holds and without those named in Connection fields.
Fields EndToEndFields(std::span<const Field> fields);

/// "NAME: VALUE\r\n" for each field.
void AppendFields(std::span<const Field> fields, std::string& out);

/// Standard reason phrase; "Status" for unknown codes.
std::string_view ReasonPhrase(int status);

/// Path part of a target, without the query.
std::string_view PathOf(std::string_view target);

}  // namespace rattanramp::http
