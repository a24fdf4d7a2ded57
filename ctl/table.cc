#include "ctl/table.h"

#include <algorithm>
#include <utility>

namespace rattanramp::ctl {
namespace {

constexpr std::size_t kColumnGap = 2;

}  // namespace

Table::Table(std::vector<std::string> header) { Add(std::move(header)); }

void Table::Add(std::vector<std::string> row) { rows_.push_back(std::move(row)); }

void Table::Print(std::ostream& out) const {
  std::vector<std::size_t> widths;
  for (const std::vector<std::string>& row : rows_) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  for (const std::vector<std::string>& row : rows_) {
    std::string line;
    std::size_t column_begin = 0;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line.resize(std::max(line.size(), column_begin), ' ');
      line += row[i];
      column_begin += widths[i] + kColumnGap;
    }
    line.erase(line.find_last_not_of(' ') + 1);
    out << line << "\n";
  }
}

std::string CellText(const nlohmann::json& value) {
  if (value.is_null()) {
    return "";
  }
  return value.is_string() ? value.get<std::string>()
                           : value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void PrintObjects(const nlohmann::json& array, std::ostream& out) {
  std::vector<std::string> columns;
  // The identifier columns come first; without this, columns would be sorted by name as the members
  // of JSON objects are.
  for (const char* identifier : {"id", "name"}) {
    const bool used =
        std::any_of(array.begin(), array.end(), [identifier](const nlohmann::json& item) {
          return item.is_object() && item.contains(identifier);
        });
    if (used) {
      columns.emplace_back(identifier);
    }
  }
  for (const nlohmann::json& item : array) {
    for (const auto& [name, value] : item.items()) {
      if (item.is_object() && std::find(columns.begin(), columns.end(), name) == columns.end()) {
        columns.push_back(name);
      }
    }
  }
  Table table(columns);
  for (const nlohmann::json& item : array) {
    std::vector<std::string> row;
    row.reserve(columns.size());
    for (const std::string& column : columns) {
      row.push_back(item.is_object() ? CellText(item.value(column, nlohmann::json())) : "");
    }
    table.Add(std::move(row));
  }
  table.Print(out);
}

}  // namespace rattanramp::ctl
