// Start line and header fields of HTTP/1.1 messages as plain structs, and their text form.
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
  /// Path and query as received from the client.
  std::string target;
  Fields fields;
  /// Minor version of HTTP/1.x.
  int minor_version = 1;
  /// The connection may carry another request after this one.
  bool keep_alive = true;
};

/// How the end of a response's body is known.
enum class BodyFraming {
  /// From the Content-Length, or the response has no body.
  kLength,
  /// From the last chunk.
  kChunks,
  /// The body ends with the connection. A server that stops early closes it too.
  kUntilClose,
};

struct ResponseHead {
  int status = 0;
  Fields fields;
  bool keep_alive = true;
  BodyFraming framing = BodyFraming::kLength;
};

/// Name of a framing for the log.
std::string_view FramingName(BodyFraming framing);

bool EqualsIgnoreCase(std::string_view a, std::string_view b);

/// Value of the first field with that name, compared without case; null when there is none.
const std::string* FindField(std::span<const Field> fields, std::string_view name);

/// Returns true for fields that apply to one connection only. Transfer-Encoding and Content-Length
/// are included because each hop frames the body anew. Fields that a Connection field lists are not
/// considered; see EndToEndFields.
bool IsHopByHop(std::string_view name);

/// Returns the fields except those for which IsHopByHop is true and those listed in Connection
/// fields.
Fields EndToEndFields(std::span<const Field> fields);

/// Appends "NAME: VALUE\r\n" for each field.
void AppendFields(std::span<const Field> fields, std::string& out);

/// Whether a text can be sent as the value of a field and received unchanged: visible ASCII
/// characters, at least one.
bool IsFieldText(std::string_view text);

/// Whether HTTP defines a class for the status code: 100 to 599 (RFC 9110, section 15).
bool IsValidStatus(int code);

/// Standard reason phrase of a status code; "Status" for unknown codes.
std::string_view ReasonPhrase(int status);

/// Path of a request target, without the query.
std::string_view PathOf(std::string_view target);

}  // namespace rattanramp::http
